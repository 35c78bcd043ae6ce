/**
 * Responses to callers that the daemon generates itself: status, headers and JSON body.
 *
 * @module
 */
import type * as entry from '@persimmonhatch/entry'
import * as protocol from '@persimmonhatch/protocol'
import type * as responseRecord from '../dispatch/response-record.js'

const JSON_TYPE = 'application/json'
const MS_PER_SECOND = 1_000

/** A response that the daemon generates itself. */
export interface LocalResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/**
 * Encodes a receipt as a header value.
 *
 * @example
 * ```ts
 * response.setHeader('x-persimmonhatch-receipt', encodeReceipt(receipt))
 * ```
 */
export function encodeReceipt (receipt: entry.event.Receipt): string {
  return Buffer.from(JSON.stringify(receipt)).toString('base64url')
}

function errorFields (reason: protocol.Reason, figures: protocol.Figures, execution?: protocol.Execution): Readonly<Record<string, unknown>> {
  const explanation = protocol.EXPLANATIONS[reason]
  return { reason, message: protocol.explain(reason, figures), remedy: explanation.remedy, execution: execution ?? explanation.execution, figures }
}

/**
 * Returns the error body for a reason without a receipt.
 *
 * @example
 * ```ts
 * errorBody('body-too-large', { limitBytes: 4_194_304 })
 * ```
 */
export function errorBody (reason: protocol.Reason, figures: protocol.Figures, execution?: protocol.Execution): string {
  return JSON.stringify({ error: errorFields(reason, figures, execution) })
}

/**
 * Returns the error response for a reason without a receipt. `execution` overrides that of the reason.
 *
 * @example
 * ```ts
 * errorResponse('malformed-request', { detail: 'the JSON ends early' }).status // 400
 * ```
 */
export function errorResponse (reason: protocol.Reason, figures: protocol.Figures, execution?: protocol.Execution): LocalResponse {
  const explanation = protocol.EXPLANATIONS[reason]
  return {
    status: explanation.status,
    headers: {
      'content-type': JSON_TYPE,
      ...(reason === 'no-authority' ? { 'retry-after': '1' } : {}),
      [protocol.HEADERS.reason]: reason,
      [protocol.HEADERS.execution]: execution ?? explanation.execution
    },
    body: errorBody(reason, figures, execution)
  }
}

/**
 * Returns the body of the redirect to the daemon that owns the identity.
 *
 * @example
 * ```ts
 * redirectBody('10.0.0.7:7400')
 * ```
 */
export function redirectBody (address: protocol.Address): string {
  return JSON.stringify({ error: { ...errorFields('other-address', {}), addresses: [address] } })
}

/**
 * Returns the response to a refused request.
 *
 * @example
 * ```ts
 * const response = refusalResponse({ receipt, retryAfterMs: 2_000 }, ['10.0.0.8:7400'])
 * ```
 */
export function refusalResponse (refusal: responseRecord.Refusal, addresses: readonly protocol.Address[]): LocalResponse {
  const { receipt, retryAfterMs } = refusal
  const headers: Record<string, string> = {
    'content-type': JSON_TYPE,
    [protocol.HEADERS.reason]: receipt.reason,
    [protocol.HEADERS.execution]: receipt.execution,
    [protocol.HEADERS.receipt]: encodeReceipt(receipt)
  }
  if (retryAfterMs > 0) headers['retry-after'] = String(Math.ceil(retryAfterMs / MS_PER_SECOND))
  const error = {
    ...errorFields(receipt.reason, receipt.figures),
    execution: receipt.execution,
    identity: receipt.identity,
    ...(retryAfterMs > 0 ? { retryAfterMs } : {}),
    ...(receipt.reason === 'draining' || receipt.reason === 'no-authority' ? { addresses } : {})
  }
  return { status: protocol.EXPLANATIONS[receipt.reason].status, headers, body: JSON.stringify({ error }) }
}
