#!/usr/bin/env node
import { runRollouts } from "rampswitch-emulator";

process.exitCode = await runRollouts(process.argv);
