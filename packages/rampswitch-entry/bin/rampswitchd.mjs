#!/usr/bin/env node
import { main } from "rampswitch-entry";

await main(process.argv);
