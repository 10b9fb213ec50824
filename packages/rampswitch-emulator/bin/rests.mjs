#!/usr/bin/env node
import { runRests } from "rampswitch-emulator";

process.exitCode = await runRests(process.argv);
