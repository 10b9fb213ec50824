#!/usr/bin/env node
import { runLimits } from "rampswitch-emulator";

process.exitCode = await runLimits(process.argv);
