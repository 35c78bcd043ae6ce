/**
 * The state of the membership core.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'
import * as composer from './composer.js'
import * as confirmation from './confirmation.js'
import * as localHealth from './local-health.js'
import * as memberTable from './member-table.js'
import * as updateStore from './update-store.js'
import * as pendingProbes from './pending-probes.js'
import * as probeOrder from './probe-order.js'
import * as rumorQueue from './rumor-queue.js'
import * as seeds from './seeds.js'
import * as localMember from './local-member.js'
import * as suspicions from './suspicions.js'
import * as synchronisation from './synchronisation.js'
import * as urgentQueue from './urgent-queue.js'

/** All state of one daemon's membership. */
export interface State extends composer.Sources {
  readonly composer: composer.Composer
  readonly confirmation: confirmation.Confirmation
  readonly health: localHealth.LocalHealth
  readonly pending: pendingProbes.PendingProbes
  readonly probeOrder: probeOrder.ProbeOrder
  readonly seeds: seeds.Seeds
  readonly suspicions: suspicions.Suspicions
  readonly synchronisation: synchronisation.Synchronisation
  readonly urgent: urgentQueue.UrgentQueue
}

/**
 * Creates the state of a daemon that has no other members yet.
 *
 * @example
 * ```ts
 * const state = createState(options.localMember, options.random)
 * ```
 */
export function createState (member: protocol.MemberUpdate, random: protocol.Random): State {
  const sources = {
    localMember: localMember.createLocalMember(member),
    table: memberTable.createMemberTable(),
    store: updateStore.createUpdateStore(),
    rumors: rumorQueue.createRumorQueue(),
    random
  }
  return {
    ...sources,
    composer: composer.createComposer(sources),
    confirmation: confirmation.createConfirmation(),
    health: localHealth.createLocalHealth(),
    pending: pendingProbes.createPendingProbes(),
    probeOrder: probeOrder.createProbeOrder(member.region, random),
    seeds: seeds.createSeeds(random),
    suspicions: suspicions.createSuspicions(),
    synchronisation: synchronisation.createSynchronisation(random()),
    urgent: urgentQueue.createUrgentQueue()
  }
}
