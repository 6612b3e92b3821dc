/** Writes `docs/events.md` and `docs/metrics.md`. */
import { writeFileSync } from "node:fs";
import { renderMetricCatalogue } from "./metricCatalogue.js";
import { renderEventCatalogue } from "./renderEventCatalogue.js";

const docs = new URL("../../../../docs/", import.meta.url);
writeFileSync(new URL("events.md", docs), renderEventCatalogue());
writeFileSync(new URL("metrics.md", docs), renderMetricCatalogue());
