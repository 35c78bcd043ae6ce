/**
 * Binds a request that resumes a stream to the service and the version that began the stream.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import type * as admission from './admission.js'
import type * as contextModule from './context.js'
import * as pendingEvents from './pending-events.js'
import type * as refusal from './refusal.js'

/**
 * Calls `done` with the request as it may be placed, or with the reason to refuse it. A version is never guessed, since
 * events of two versions don't fit together.
 *
 * @example
 * ```ts
 * bindToStream(context, request, (bound) => { if (bound.isOk()) start(bound.value) })
 * ```
 */
export function bindToStream (context: contextModule.Context, request: admission.AdmittedRequest, done: (bound: neverthrow.Result<admission.AdmittedRequest, refusal.Reason>) => void): void {
  const { resumes, route } = request
  if (resumes === undefined || !route.resumable) {
    done(neverthrow.ok(request))
    return
  }
  const services = context.resumableServices()
  const service = services.size === 1 ? [...services][0] : undefined
  let isDone = false
  const finish: typeof done = (bound) => {
    clearTimeout(timer)
    if (!isDone) done(bound)
    isDone = true
  }
  const timer = pendingEvents.startTimer(() => { finish(neverthrow.err('timed-out-unsent')) }, request.limitMs - context.now())
  context.streams.find({ requestId: resumes, service }, (found) => {
    if (found === undefined) {
      finish(neverthrow.err('unknown-stream'))
      return
    }
    const { beginning: { service, version }, source } = found
    if (!route.shares.some((share) => share.service === service)) finish(neverthrow.err('version-gone'))
    else finish(neverthrow.ok({ ...request, service, version, versionSource: source }))
  })
}
