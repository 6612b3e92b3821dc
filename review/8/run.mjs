/**
 * A caller begins with a new subject: its prompts hold the same two shared parts. The first of them also hold a part that
 * crashes workers; the sound ones that follow are refused for good.
 */
import { performance } from "node:perf_hooks";
import {
    call,
    createConfiguration,
    hasTrouble,
    nextAddress,
    record,
    runCase,
    sleep,
    startRouter,
    startStoreStandIn,
} from "../harness-2/harness.mjs";
import { poisonPart, startModel } from "../harness-2/startModel.mjs";

/** `stableWindowMs` of the site. */
const stableMs = 3_000;
const beforeMs = 8_000;
const poisonIntervalMs = 1_000;
const soundIntervalMs = 500;
const othersIntervalMs = 50;

/** Time from the first request with the part to the first sound request of the subject. */
const firstSoundAfterMs = 4_000;
const playMs = 32_000;

/** Bounds of the rule: counted from the fifth crash; 20 or more requests; less than half as often. */
const countedFrom = 5;
const minRequests = 20;

const oldSubject = ["aa01", "bb02"];
const newSubject = ["cc03", "dd04"];
const subjectOfOthers = ["ee05", "ff06"];

await runCase(async () => {
    const store = await startStoreStandIn(nextAddress());
    const configuration = createConfiguration();
    const [resumable] = configuration.routes.filter(route => route.name === "resumable");
    store.put("config", "main", {
        ...configuration,
        routes: [...configuration.routes, { ...resumable, name: "proofs", pathPrefix: "/proofs/", public: false }],
        tenants: [{ name: "ada", apiKeys: ["key-of-ada"] }, { name: "ben", apiKeys: ["key-of-ben"] }],
    });
    const crashes = [];
    for (const name of ["model-1", "model-2", "model-3", "model-4"]) {
        const onCrash = () => crashes.push(performance.now());
        await startModel(name, store, { crashesAfter: "nothing", onCrash, onPoison: () => undefined });
    }
    const routers = [];
    for (const zone of ["zone-a", "zone-b"])
        routers.push(await startRouter({ name: `front-${zone}-1`, zone, storeAddress: store.address }));
    await sleep(stableMs + 200);

    let sent = 0;
    /** Sound requests with ada's key: when they were sent, and whether they began. */
    const sound = [];
    const send = async (key, name, parts) => {
        sent += 1;
        const id = `${name}-${sent}`;
        const sentAt = performance.now();
        const prompt = [...parts.map(part => `${part}:400`), `${sent.toString(16)}:500`];
        const headers = {
            Authorization: `Bearer key-of-${key}`,
            Connection: "close",
            "Deadline-Ms": "8000",
            Model: "m",
            "Token-Counts": "1400,80",
            "Prompt-Prefix": prompt.join(","),
        };
        record(`${id} sent, prompt ${prompt.join(",")}`);
        const { address } = routers[sent % routers.length];
        const answer = await call(address, { method: "POST", path: "/proofs/x", id, body: "a prompt", headers });
        record(`${id}: ${answer.status}, complete ${answer.isComplete} ${answer.status === 200 ? "" : answer.body}`);
        if (key === "ada" && !parts.includes(poisonPart)) sound.push({ sentAt, hasBegun: answer.status === 200 });
    };
    const open = [];
    const sendUntil = async (endsAt, intervalMs, ...request) => {
        while (performance.now() < endsAt) {
            open.push(send(...request));
            await sleep(intervalMs);
        }
    };
    const startedAt = performance.now();
    const poisonAt = startedAt + beforeMs;
    const endsAt = poisonAt + playMs;
    void sendUntil(endsAt, othersIntervalMs, "ben", "others", subjectOfOthers);
    await sendUntil(poisonAt, soundIntervalMs / 2, "ada", "old", oldSubject);
    record("ada begins with a new subject");
    if (hasTrouble) void sendUntil(endsAt, poisonIntervalMs, "ada", "poison", [...newSubject, poisonPart]);
    await sleep(firstSoundAfterMs);
    await sendUntil(endsAt, soundIntervalMs, "ada", "new", newSubject);
    await Promise.all(open);

    // Without crashes, all of the new subject count.
    const countedSince = hasTrouble
        ? (crashes[countedFrom - 1] ?? crashes.at(-1) ?? Infinity) + 2 * stableMs
        : poisonAt;
    const before = sound.filter(({ sentAt }) => sentAt < poisonAt);
    const after = sound.filter(({ sentAt }) => sentAt > countedSince);
    const countBegun = requests => requests.filter(({ hasBegun }) => hasBegun).length;
    const ratioBefore = countBegun(before) / before.length;
    const ratioAfter = countBegun(after) / after.length;
    const isBroken = Math.min(before.length, after.length) >= minRequests && ratioAfter < ratioBefore / 2;
    const summary =
        `of ada's sound requests ${countBegun(before)} of ${before.length} began before, and ${countBegun(after)} of `
        + `${after.length} later than ${2 * stableMs} ms after the crashes (${crashes.length} crashes)`;
    return { isBroken, summary };
});
