#!/usr/bin/env node
import { runEmulator } from "rampswitch-emulator";

process.exitCode = await runEmulator(process.argv);
