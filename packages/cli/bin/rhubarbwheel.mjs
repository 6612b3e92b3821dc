#!/usr/bin/env node
import { main } from "../lib/src/runCli.js";

await main();
