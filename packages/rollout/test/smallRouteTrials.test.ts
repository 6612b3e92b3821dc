/** Trials of the verdict at a service's rates; `PRINT=1` prints the table of docs/design/rollouts.md. */
import { test } from "uvu";
import { addBadTrials, addGoodTrials } from "./trialKinds.js";
import { smallRouteService } from "./trialServices.js";

addBadTrials(smallRouteService);
addGoodTrials(smallRouteService);

test.run();
