/**
 * Collects changes of targets that arrive together, so that they are applied to the pools and logged once.
 *
 * When a fleet starts, each daemon learns of all targets within a few seconds, many of them in one response of the store
 * or of a peer. A line and an update of all pools for each of them took most of the processor time of a start.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as eventLog from './event-log.js'

/** Consumers of the changes. */
export interface Options {
  readonly log: Pick<eventLog.EventLog, 'change'>
  /** Called once for all changes that arrived together. */
  readonly apply: () => void
  /** Runs a function after the input that is being handled. */
  readonly defer: (run: () => void) => void
}

/** Changes of targets. */
export interface TargetChanges {
  readonly add: (versioned: routing.targetRegistry.VersionedTarget, source: string) => void
}

interface Change {
  readonly versioned: routing.targetRegistry.VersionedTarget
  readonly source: string
}

/** Maximum number of changes that are logged in a line each. */
const MAX_SINGLE_LINES = 4

/** Returns a target's state in one word, for logs. */
export function stateOf (target: routing.targetRegistry.Target | undefined): 'ready' | 'leaving' | 'gone' {
  if (target === undefined) return 'gone'
  return target.leaving ? 'leaving' : 'ready'
}

/** Groups changes by their source, in the order of arrival. */
function groupBySource (changes: readonly Change[]): ReadonlyMap<string, readonly routing.targetRegistry.VersionedTarget[]> {
  const groups = new Map<string, routing.targetRegistry.VersionedTarget[]>()
  for (const { versioned, source } of changes) groups.set(source, [...groups.get(source) ?? [], versioned])
  return groups
}

/**
 * Creates the collector.
 *
 * @example
 * ```ts
 * const changes = createTargetChanges({ log, apply: () => { refreshTargets() }, defer: setImmediate })
 * changes.add(versioned, 'store')
 * ```
 */
export function createTargetChanges ({ log, apply, defer }: Options): TargetChanges {
  let pending: readonly Change[] = []

  function logChanges (changes: readonly Change[]): void {
    if (changes.length <= MAX_SINGLE_LINES) {
      for (const { versioned: { id, era, revision, target }, source } of changes) {
        log.change('target learnt', { target: id, era, revision, state: stateOf(target), service: target?.service, version: target?.version, source })
      }
      return
    }
    for (const [source, group] of groupBySource(changes)) {
      log.change('targets learnt', { targets: group.map(({ id, revision, target }) => [id, revision, stateOf(target), target?.service, target?.version].join(' ')), source })
    }
  }

  function flush (): void {
    const changes = pending
    pending = []
    logChanges(changes)
    apply()
  }

  return {
    add: (versioned, source) => {
      if (pending.length === 0) defer(flush)
      pending = [...pending, { versioned, source }]
    }
  }
}
