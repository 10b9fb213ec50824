#!/usr/bin/env node
import { main } from "rampswitch-cli";

process.exitCode = await main(process.argv);
