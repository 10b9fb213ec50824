#!/usr/bin/env node
import { runStandins } from "rampswitch-measure";

await runStandins(process.argv);
