/**
 * Checks of recorded histories against the system's guarantees.
 *
 * @module
 */
export * as calls from './calls.js'
export * as documentInForce from './document-in-force.js'
export * as finalOutcome from './final-outcome.js'
export * as gracefulStop from './graceful-stop.js'
export * as history from './history.js'
export * as leavingTarget from './leaving-target.js'
export * as guarantees from './guarantees.js'
export * as promptRefusal from './prompt-refusal.js'
export * as runs from './runs.js'
export * as singleDispatch from './single-dispatch.js'
export * as singleEffect from './single-effect.js'
export * as tierOrder from './tier-order.js'
export * as truthfulRefusal from './truthful-refusal.js'
export * as completeResponse from './complete-response.js'
