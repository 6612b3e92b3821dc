/**
 * Catalogue of the numbered log events. Numbers are stable: the number of a removed event is not reused.
 * `docs/events.md` is generated from this catalogue by `npm run generate:docs` in this package.
 */
import type { EventKind } from "./eventKind.js";
import { configurationEvents } from "./events/configurationEvents.js";
import { daemonEvents } from "./events/daemonEvents.js";
import { fleetViewEvents } from "./events/fleetViewEvents.js";
import { idempotencyEvents } from "./events/idempotencyEvents.js";
import { membershipEvents } from "./events/membershipEvents.js";
import { placedRequestEvents } from "./events/placedRequestEvents.js";
import { placementEvents } from "./events/placementEvents.js";
import { routingEvents } from "./events/routingEvents.js";

/** Title of each range of 100 numbers, by the first number of the range. */
export const eventRanges: Readonly<Record<number, string>> = {
    1000: "Daemon",
    1100: "Routing",
    1200: "Placement",
    1300: "Membership",
    1400: "Configuration",
    1500: "Idempotency",
    1600: "Fleet view",
    1700: "Placed requests",
};

export const eventCatalogue: Readonly<Record<number, EventKind>> = {
    ...daemonEvents,
    ...routingEvents,
    ...placementEvents,
    ...membershipEvents,
    ...configurationEvents,
    ...idempotencyEvents,
    ...fleetViewEvents,
    ...placedRequestEvents,
};
