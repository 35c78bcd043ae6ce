/**
 * Explains one request after the fact, from a daemon that remembers it or from its receipt.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as z from 'zod'
import * as daemons from './daemons.js'
import * as failure from './failure.js'
import * as receipt from './receipt.js'
import type * as session from './session.js'

const IDENTITY = /^([a-z0-9]{1,40})\.\d+\.[A-Za-z0-9_-]{1,40}$/
const OK = 200

const answer = z.object({ receipt: z.unknown(), sentences: z.array(z.string()).readonly().default([]) }).readonly()

interface RequestAnswer {
  readonly receipt: receipt.Receipt
  readonly sentences: readonly string[]
}

/** One daemon's answer about a request: the receipt, or why there is none. */
interface Reply {
  readonly address: string
  readonly found: neverthrow.Result<RequestAnswer, string>
}

const DECIMALS = 2

function figureText (value: string | number): string {
  return typeof value === 'number' ? String(Number(value.toFixed(DECIMALS))) : value
}

function report (found: RequestAnswer): session.Report {
  const { sentences, remedy } = receipt.explainReceipt(found.receipt, found.sentences)
  const figures = Object.entries(found.receipt.figures).map(([name, value]) => `  ${name}: ${figureText(value)}`)
  const lines = [
    sentences.join(' '),
    ...(remedy === undefined ? [] : [`What to do: ${remedy}`]),
    ...(figures.length === 0 ? [] : ['Figures:', ...figures])
  ]
  return { exit: 'done', text: lines.join('\n'), json: { receipt: found.receipt, sentences, remedy } }
}

function readAnswer (body: unknown): neverthrow.Result<RequestAnswer, string> {
  const parsed = answer.safeParse(body)
  if (!parsed.success) return neverthrow.err('gave an answer of another form')
  return receipt.checkReceipt(parsed.data.receipt)
    .map((checked) => ({ receipt: checked, sentences: parsed.data.sentences }))
    .mapErr((error) => error.message)
}

async function ask (run: session.Session, address: string, identity: string): Promise<Reply> {
  const got = await run.ports.askDaemon(address, `/v1/requests/${identity}`)
  const found = got
    .mapErr((error) => error.message)
    .andThen(({ status, body }) => status === OK ? readAnswer(body) : neverthrow.err('does not remember it'))
  return { address, found }
}

function ownerFirst (everyone: readonly daemons.Reply[], incarnation: string): readonly daemons.Reply[] {
  const owns = (asked: daemons.Reply): boolean => asked.status.isOk() && asked.status.value.incarnation === incarnation
  return [...everyone.filter(owns), ...everyone.filter((asked) => !owns(asked))]
}

async function askInOrder (run: session.Session, identity: string, order: readonly daemons.Reply[]): Promise<readonly Reply[]> {
  const replies: Reply[] = []
  for (const asked of order) {
    const reply = asked.status.isOk()
      ? await ask(run, asked.address, identity)
      : { address: asked.address, found: neverthrow.err(asked.status.error.message) }
    replies.push(reply)
    if (reply.found.isOk()) break
  }
  return replies
}

function notFound (identity: string, everyone: readonly daemons.Reply[], replies: readonly Reply[]): failure.Failure {
  if (everyone.length === 0) return new failure.Failure('daemonUnreachable', 'no-daemon-known', {})
  const lines = replies.flatMap(({ address, found }) => found.isErr() ? [`  ${address}: ${found.error}`] : []).join('\n')
  if (everyone.every((asked) => asked.status.isErr())) return new failure.Failure('daemonUnreachable', 'no-daemon-reached', { daemons: lines })
  return new failure.Failure('notFound', 'request-not-found', { identity, daemons: lines })
}

/**
 * Asks the daemon that owns an identity, then all others.
 *
 * @example
 * ```ts
 * const report = await explainIdentity(session, 'k3v9x0q2m1abc.17.a1')
 * ```
 */
export function explainIdentity (run: session.Session, identity: string): session.Outcome {
  return neverthrow.safeTry<session.Report, failure.Failure>(async function * () {
    const incarnation = IDENTITY.exec(identity)?.[1]
    if (incarnation === undefined) return neverthrow.err(new failure.Failure('usage', 'identity-malformed', { identity }))
    const everyone = await daemons.askEveryone(run, daemons.NO_CHOICE)
    const replies = await askInOrder(run, identity, ownerFirst(everyone, incarnation))
    const last = replies.at(-1)?.found
    return last?.isOk() === true ? neverthrow.ok(report(last.value)) : neverthrow.err(notFound(identity, everyone, replies))
  })
}

/**
 * Explains a receipt, without asking anyone.
 *
 * @example
 * ```ts
 * const report = await explainReceipt('eyJpZGVudGl0eSI6…')
 * ```
 */
export function explainReceipt (text: string): session.Outcome {
  return new neverthrow.ResultAsync(Promise.resolve(receipt.decodeReceipt(text).map((decoded) => report({ receipt: decoded, sentences: [] }))))
}
