#!/usr/bin/env node
import { runMeasure } from "rampswitch-measure";

process.exitCode = await runMeasure(process.argv);
