#!/usr/bin/env node
import { runDemo } from "rampswitch-measure";

await runDemo();
