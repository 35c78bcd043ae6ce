/**
 * Reads and writes traces.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import type * as zod from 'zod'
import * as trace from './trace.js'

/** A trace that can't be replayed; the message names the line and the remedy. */
export class InvalidTrace extends Error {
  override readonly name = 'InvalidTrace'

  constructor (readonly line: number, detail: string) {
    super(`line ${line}: ${detail}. Correct the line as docs/traces.md describes it, or generate the trace again.`)
  }
}

type Line = trace.Arrival | trace.TargetEvent

const parseJson = neverthrow.Result.fromThrowable((text: string): unknown => JSON.parse(text))

function checkSchema<Value> (schema: zod.ZodType<Value>, json: unknown, line: number): neverthrow.Result<Value, InvalidTrace> {
  const parsed = schema.safeParse(json)
  if (parsed.success) return neverthrow.ok(parsed.data)
  const issue = parsed.error.issues[0]
  const where = issue === undefined || issue.path.length === 0 ? '' : `${issue.path.join('.')}: `
  return neverthrow.err(new InvalidTrace(line, `${where}${issue?.message ?? 'it does not match the schema'}`))
}

function readJson (text: string, line: number): neverthrow.Result<unknown, InvalidTrace> {
  return parseJson(text).mapErr(() => new InvalidTrace(line, 'it is not JSON'))
}

function readLine (text: string, line: number): neverthrow.Result<Line, InvalidTrace> {
  return readJson(text, line).andThen((json): neverthrow.Result<Line, InvalidTrace> => {
    const isEvent = typeof json === 'object' && json !== null && 'type' in json
    return isEvent ? checkSchema<trace.TargetEvent>(trace.TARGET_EVENT, json, line) : checkSchema<trace.Arrival>(trace.ARRIVAL, json, line)
  })
}

function findFault (header: trace.Header, line: Line): string | undefined {
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
 * Reads a trace.
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
    const header = yield * readJson(lines[0] ?? '', 1).andThen((json) => checkSchema<trace.Header>(trace.HEADER, json, 1))
    const arrivals: trace.Arrival[] = []
    const events: trace.TargetEvent[] = []
    let lastMs = 0
    for (const [index, content] of lines.slice(1).entries()) {
      const number = index + 2
      const line = yield * readLine(content, number)
      const fault = line.atMs < lastMs ? `atMs ${line.atMs} is before the line above` : findFault(header, line)
      if (fault !== undefined) return neverthrow.err(new InvalidTrace(number, fault))
      lastMs = line.atMs
      if ('type' in line) events.push(line)
      else arrivals.push(line)
    }
    return neverthrow.ok({ header, arrivals, events })
  })
}

/**
 * Writes a trace as JSON lines.
 *
 * @example
 * ```ts
 * readTrace(writeTrace(generated)) // ok(generated)
 * ```
 */
export function writeTrace (of: trace.Trace): string {
  const lines: readonly Line[] = [...of.events, ...of.arrivals].sort((left, right) => left.atMs - right.atMs)
  return [of.header, ...lines].map((line) => JSON.stringify(line)).join('\n') + '\n'
}
