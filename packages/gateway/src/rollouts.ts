/**
 * The roll-outs of all services at one daemon, and what its pools, requests and reports need of them.
 *
 * @module
 */
import type * as rollout from '@persimmonhatch/rollout'
import type * as routing from '@persimmonhatch/routing'
import type * as peerMessages from './peer-messages.js'
import type * as rolloutRows from './rollout-rows.js'
import type * as rolloutStore from './rollout-store.js'
import * as serviceRollout from './service-rollout.js'

/** What the operator sets for roll-outs, and where their progress is kept. */
export interface Settings {
  readonly bounds: rollout.decision.Bounds
  readonly store: rolloutStore.RolloutStore
}

/** Dependencies of the roll-outs. */
export interface Options extends Settings, Pick<serviceRollout.Options, 'now' | 'unixNow' | 'random' | 'log' | 'metrics' | 'announce'> {
  readonly isArbiterOf: (name: string) => boolean
  readonly services: () => readonly Pick<routing.document.Service, 'name'>[]
  /** Returns the cell of a peer; undefined if it is in this daemon's or not known. */
  readonly cellOf: (peer: string) => string | undefined
  readonly registry: Pick<routing.targetRegistry.TargetRegistry, 'usable' | 'startOf' | 'versionOf'>
  /** Returns the load of this daemon, by service. */
  readonly loads: () => Readonly<Record<string, routing.poolEvent.PeerLoad>>
}

/** Maximum number of services whose roll-outs are followed, which bounds the memory. */
const MAX_SERVICES = 1_000

/** The roll-outs of all services. */
export interface Rollouts {
  /** Returns the limits of a service's versions. */
  readonly versionsOf: (service: string) => routing.versionGate.VersionGate
  readonly takeOrder: (order: rolloutStore.Order) => void
  /** Records what a request experienced at a target. */
  readonly record: (target: Pick<routing.targetRegistry.Target, 'service' | 'version'>, samples: readonly rollout.outcomes.Sample[]) => void
  readonly rows: (scope: peerMessages.Report['scope']) => Readonly<Record<string, rolloutRows.RolloutRow>>
  readonly applyReport: (report: peerMessages.Report) => void
  /** Notes the targets of all services; called before they are assigned to the pools. */
  readonly refreshTargets: () => void
  /** Does what is due; called several times a second. */
  readonly tick: () => void
}

/**
 * Creates the roll-outs of a daemon that has just started.
 *
 * @example
 * ```ts
 * const rollouts = createRollouts(options)
 * rollouts.takeOrder({ service: 'support', number: 41, to: 'v2', durationMs: 60_000, isFresh: true })
 * ```
 */
export function createRollouts (options: Options): Rollouts {
  const { registry, now } = options
  const byService = new Map<string, serviceRollout.ServiceRollout>()

  function oldInFlight (service: string, to: string): number {
    const loads = options.loads()
    const targets = Object.hasOwn(loads, service) ? loads[service]?.targets ?? {} : {}
    return Object.entries(targets).reduce((sum, [id, [running]]) => {
      const version = registry.versionOf(id)
      return version === undefined || version === to ? sum : sum + running
    }, 0)
  }

  function rolloutOf (service: string): serviceRollout.ServiceRollout {
    const existing = byService.get(service)
    if (existing !== undefined) return existing
    const created = new serviceRollout.ServiceRollout({
      ...options,
      service,
      isArbiter: () => options.isArbiterOf(`rollout ${service}`),
      isKnownService: () => options.services().some(({ name }) => name === service),
      oldInFlight: (to) => oldInFlight(service, to)
    })
    byService.set(service, created)
    return created
  }

  return {
    versionsOf: (service) => serviceRollout.gateOf(rolloutOf(service)),
    takeOrder: (order) => {
      if (byService.has(order.service) || byService.size < MAX_SERVICES) rolloutOf(order.service).takeOrder(order)
    },
    record: ({ service, version }, samples) => { for (const sample of samples) rolloutOf(service).record(version, sample) },
    rows: (scope) => Object.fromEntries([...byService].flatMap(([service, followed]) => {
      const row = followed.row(scope)
      return row === undefined ? [] : [[service, row] as const]
    })),
    applyReport: (report) => {
      const cell = options.cellOf(report.from)
      for (const [service, row] of Object.entries(report.rollouts)) byService.get(service)?.applyRow(report, row, cell)
    },
    refreshTargets: () => {
      const nowMs = now()
      for (const [service, { versions }] of byService) versions.observe(registry.usable(service, nowMs).map(({ id, version }) => ({ id, version, startedMs: registry.startOf(id) })), nowMs)
    },
    tick: () => { for (const followed of byService.values()) followed.tick() }
  }
}
