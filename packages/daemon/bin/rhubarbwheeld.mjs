#!/usr/bin/env node
import "../lib/src/runDaemon.js";
