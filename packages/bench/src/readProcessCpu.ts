import { readFileSync } from "node:fs";

// Linux reports process times in ticks of 10 ms on all common platforms.
const clockTickMs = 10;
const userTimeField = 11;
const systemTimeField = 12;

/** Reads the processor time that a process has used so far, in milliseconds. */
export function readProcessCpuMs(pid: number): number {
    const text = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The name of the process is in parentheses and may contain spaces.
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * clockTickMs;
}
