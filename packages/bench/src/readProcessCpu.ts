import { readFileSync } from "node:fs";

// Linux reports CPU times in ticks, which are 10 ms on all common platforms.
const clockTickMs = 10;
// Indexes of the fields utime and stime, counted after the process name.
const userTimeIndex = 11;
const systemTimeIndex = 12;

/** Reads the CPU time that a process has used since its start. */
export function readProcessCpuMs(pid: number): number {
    const text = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The process name is in parentheses and may contain spaces.
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userTimeIndex]) + Number(fields[systemTimeIndex])) * clockTickMs;
}
