/**
 * Binds a request to the software version that begins its stream.
 *
 * @module
 */
import type * as routing from '@persimmonhatch/routing'
import type * as admission from './admission.js'
import type * as contextModule from './context.js'

/**
 * The software version to which one request is bound.
 *
 * @example
 * ```ts
 * const binding = new StreamBinding(context, request)
 * if (binding.isCurrent(target)) binding.bind(target)
 * ```
 */
export class StreamBinding {
  private bound: string | undefined
  private hasBegun = false

  constructor (private readonly context: Pick<contextModule.Context, 'streams' | 'targets'>, private readonly request: admission.AdmittedRequest) {
    this.bound = request.version
  }

  /** The version at which the stream may go on; undefined for any. */
  get version (): string | undefined {
    return this.bound
  }

  /**
   * Whether a target still has the version for which it was chosen. Without an entry that is not certain, so a bound stream can't
   * go on there. A stream that can't be resumed may begin at any version.
   */
  isCurrent (target: routing.targetRegistry.Target): boolean {
    if (!this.request.route.resumable) return true
    const version = this.context.targets.versionOf(target.id)
    return version === undefined ? this.bound === undefined : version === target.version
  }

  /** Records the version when the first events of the stream are forwarded, so that it goes on only there. */
  bind (target: routing.targetRegistry.Target): void {
    const { context, request } = this
    if (this.hasBegun) return
    this.hasBegun = true
    this.bound ??= target.version
    if (request.route.resumable) context.streams.record({ requestId: request.resumes ?? request.requestId, service: request.service, version: this.bound })
  }
}
