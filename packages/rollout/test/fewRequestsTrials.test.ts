/** Trials of the verdict at a service's rates; `PRINT=1` prints the table of docs/design/rollouts.md. */
import { test } from "uvu";
import { addBadTrials, addGoodTrials } from "./trialKinds.js";
import { fewRequestsService } from "./trialServices.js";

addBadTrials(fewRequestsService);
addGoodTrials(fewRequestsService);

test.run();
