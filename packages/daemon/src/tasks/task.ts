/**
 * A task owns a core: it passes events to the core and performs the core's outputs.
 *
 * @module
 */

/** A state machine that turns events into outputs. */
export interface Core<Event, Output> {
  readonly handle: (event: Event, nowMs: number) => Generator<Output, void>
}

/** Dependencies of a task. */
export interface Options<Event, Output> {
  readonly core: Core<Event, Output>
  readonly clock: () => number
  readonly perform: (output: Output) => void
  /** Called before each event, so that a suspension of the process is detected first. */
  readonly beforeEvent: () => void
}

/** A running task. */
export interface Task<Event> {
  readonly post: (event: Event) => void
}

/**
 * Starts a task. Events posted while another is handled are queued, so the core is never called reentrantly.
 *
 * @example
 * ```ts
 * const task = startTask({ core, clock, perform: send, beforeEvent: () => {} })
 * task.post({ kind: 'tick' })
 * ```
 */
export function startTask<Event, Output> (options: Options<Event, Output>): Task<Event> {
  const waiting: Event[] = []
  let busy = false

  function drain (): void {
    for (let event = waiting.shift(); event !== undefined; event = waiting.shift()) {
      for (const output of options.core.handle(event, options.clock())) options.perform(output)
    }
  }

  function post (event: Event): void {
    options.beforeEvent()
    waiting.push(event)
    if (busy) return
    busy = true
    try {
      drain()
    } finally {
      busy = false
    }
  }

  return { post }
}
