/** Trials of the verdict at a service's rates; `PRINT=1` prints the table of docs/design/rollouts.md. */
import { test } from "uvu";
import { addGoodTrials } from "./trialKinds.js";
import { highRateService } from "./trialServices.js";

addGoodTrials(highRateService);

test.run();
