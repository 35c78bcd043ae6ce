/**
 * Reads receipts and explains them in sentences: why a request waited, ran or was refused.
 *
 * @module
 */
import * as document from '@persimmonhatch/document'
import * as protocol from '@persimmonhatch/protocol'
import type * as neverthrow from 'neverthrow'
import * as z from 'zod'
import * as failure from './failure.js'

const schema = z.object({
  identity: z.string(),
  service: z.string(),
  organisation: z.string(),
  tier: z.string(),
  reason: z.string(),
  execution: z.enum(['not-run', 'ran', 'unknown']),
  waitedMs: z.number(),
  target: z.string().optional(),
  figures: z.record(z.string(), z.union([z.string(), z.number()])).readonly()
}).readonly()

/** Receipt as the tool reads it; other fields are ignored. */
export type Receipt = z.infer<typeof schema>

/** Explanation of a receipt. */
export interface Explanation {
  readonly sentences: readonly string[]
  readonly remedy: string | undefined
}

const EXECUTION_SENTENCES = {
  'not-run': 'It was not run.',
  ran: 'It was run, at least in part.',
  unknown: 'It is not known whether it was run.'
} as const satisfies Readonly<Record<protocol.Execution, string>>

function round (value: string | number): string | number {
  return typeof value === 'number' ? Math.round(value) : value
}

function isReason (reason: string): reason is protocol.Reason {
  return Object.hasOwn(protocol.EXPLANATIONS, reason)
}

/**
 * Validates a parsed receipt.
 *
 * @example
 * ```ts
 * checkReceipt(body.receipt).map((receipt) => receipt.reason)
 * ```
 */
export function checkReceipt (value: unknown): neverthrow.Result<Receipt, failure.Failure> {
  return document.checkSchema.checkSchema(schema, value).mapErr((problems) => {
    const lines = problems.map(document.problem.formatProblem)
    return new failure.Failure('invalid', 'receipt-malformed', { problems: lines.join('; ') })
  })
}

/**
 * Decodes the value of an `x-persimmonhatch-receipt` header.
 *
 * @example
 * ```ts
 * decodeReceipt('eyJpZGVudGl0eSI6…')
 * ```
 */
export function decodeReceipt (text: string): neverthrow.Result<Receipt, failure.Failure> {
  const json = Buffer.from(text.trim(), 'base64url').toString('utf8')
  return document.parseJsonc.parseJsonc(json)
    .mapErr(() => new failure.Failure('invalid', 'receipt-malformed', { problems: 'it is not base64url-encoded JSON' }))
    .andThen(checkReceipt)
}

/**
 * Explains a receipt in sentences. `fallbackSentences` replace the explanation of a reason that this version
 * does not know.
 *
 * @example
 * ```ts
 * explainReceipt(receipt, []).sentences.join(' ')
 * ```
 */
export function explainReceipt (receipt: Receipt, fallbackSentences: readonly string[]): Explanation {
  const opening = `A request of ${receipt.organisation} to ${receipt.service}, tier ${receipt.tier}, waited ${round(receipt.waitedMs)} ms.`
  const { reason } = receipt
  if (!isReason(reason)) return { sentences: [opening, ...fallbackSentences, EXECUTION_SENTENCES[receipt.execution]], remedy: undefined }
  const explanation = protocol.EXPLANATIONS[reason]
  const figures: protocol.Figures = { ...receipt.figures, target: receipt.target ?? receipt.figures.target ?? 'unknown', waitedMs: receipt.waitedMs, service: receipt.service, organisation: receipt.organisation, tier: receipt.tier }
  const sentences = [opening, protocol.explain(reason, figures)]
  // The explanation of a finished request already says that it was run.
  return { sentences: reason === 'finished' ? sentences : [...sentences, EXECUTION_SENTENCES[receipt.execution]], remedy: explanation.remedy }
}
