/**
 * Parses and serializes traces.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import type * as zod from 'zod'
import * as trace from './trace.js'

/** Reports a trace that can't be replayed. The message names the line and the remedy. */
export class InvalidTrace extends Error {
  override readonly name = 'InvalidTrace'

  constructor (readonly line: number, detail: string) {
    super(`line ${line}: ${detail}. Correct the line as docs/traces.md describes it, or generate the trace again.`)
  }
}

type TraceLine = trace.Arrival | trace.TargetEvent

const parseJson = neverthrow.Result.fromThrowable((text: string): unknown => JSON.parse(text))

function parseWithSchema<Value> (schema: zod.ZodType<Value>, json: unknown, line: number): neverthrow.Result<Value, InvalidTrace> {
  const parsed = schema.safeParse(json)
  if (parsed.success) return neverthrow.ok(parsed.data)
  const issue = parsed.error.issues[0]
  const fieldPath = issue === undefined || issue.path.length === 0 ? '' : `${issue.path.join('.')}: `
  return neverthrow.err(new InvalidTrace(line, `${fieldPath}${issue?.message ?? 'it does not match the schema'}`))
}

function parseJsonLine (text: string, line: number): neverthrow.Result<unknown, InvalidTrace> {
  return parseJson(text).mapErr(() => new InvalidTrace(line, 'it is not JSON'))
}

function parseLine (text: string, line: number): neverthrow.Result<TraceLine, InvalidTrace> {
  return parseJsonLine(text, line).andThen((json): neverthrow.Result<TraceLine, InvalidTrace> => {
    const isEvent = typeof json === 'object' && json !== null && 'type' in json
    return isEvent ? parseWithSchema<trace.TargetEvent>(trace.TARGET_EVENT, json, line) : parseWithSchema<trace.Arrival>(trace.ARRIVAL, json, line)
  })
}

/** Returns how a line contradicts the header, or `undefined` if it doesn't. */
function findInconsistency (header: trace.Header, line: TraceLine): string | undefined {
  if (line.atMs > header.durationMs) return `atMs ${line.atMs} is after the trace's end at ${header.durationMs}`
  if ('type' in line) {
    return header.targets.some(({ name }) => name === line.target) ? undefined : `the header lists no target "${line.target}"`
  }
  const kind = header.kinds.find(({ name }) => name === line.kind)
  if (kind === undefined) return `the header lists no kind "${line.kind}"`
  if (line.by >= header.organisations.length) return `the header lists no organisation ${line.by}`
  if (line.prompt <= kind.sharedTokens && kind.target === 'model') return `prompt ${line.prompt} is not longer than the shared ${kind.sharedTokens} tokens`
  return line.answer > kind.answerLimitTokens ? `answer ${line.answer} is longer than the kind's limit ${kind.answerLimitTokens}` : undefined
}

/**
 * Parses a trace.
 *
 * @example
 * ```ts
 * const read = readTrace(text)
 * if (read.isErr()) print(read.error.message) // 'line 7: …'
 * ```
 */
export function readTrace (text: string): neverthrow.Result<trace.Trace, InvalidTrace> {
  return neverthrow.safeTry<trace.Trace, InvalidTrace>(function * () {
    const lines = text.trimEnd().split('\n')
    const header = yield * parseJsonLine(lines[0] ?? '', 1).andThen((json) => parseWithSchema<trace.Header>(trace.HEADER, json, 1))
    const arrivals: trace.Arrival[] = []
    const events: trace.TargetEvent[] = []
    let previousAtMs = 0
    for (const [index, content] of lines.slice(1).entries()) {
      const lineNumber = index + 2
      const line = yield * parseLine(content, lineNumber)
      const inconsistency = line.atMs < previousAtMs ? `atMs ${line.atMs} is before the line above` : findInconsistency(header, line)
      if (inconsistency !== undefined) return neverthrow.err(new InvalidTrace(lineNumber, inconsistency))
      previousAtMs = line.atMs
      if ('type' in line) events.push(line)
      else arrivals.push(line)
    }
    return neverthrow.ok({ header, arrivals, events })
  })
}

/**
 * Serializes a trace as JSON lines.
 *
 * @example
 * ```ts
 * readTrace(writeTrace(generated)) // ok(generated)
 * ```
 */
export function writeTrace (sourceTrace: trace.Trace): string {
  const lines: readonly TraceLine[] = [...sourceTrace.events, ...sourceTrace.arrivals].sort((left, right) => left.atMs - right.atMs)
  return [sourceTrace.header, ...lines].map((line) => JSON.stringify(line)).join('\n') + '\n'
}
