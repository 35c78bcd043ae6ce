/**
 * Parses and checks an operator's service document.
 *
 * @module
 */
import * as neverthrow from 'neverthrow'
import * as checkSchema from './check-schema.js'
import * as documentRules from './document-rules.js'
import * as parseJsonc from './parse-jsonc.js'
import * as problem from './problem.js'
import * as serviceDocument from './service-document.js'

/** A document that must not come into force; the message lists every problem with its remedy. */
export class InvalidDocument extends Error {
  readonly kind = 'invalid-document'

  constructor (readonly problems: readonly problem.Problem[]) {
    super(problems.map(problem.formatProblem).join('\n'))
    this.name = 'InvalidDocument'
  }
}

function checkRules (document: serviceDocument.ServiceDocument): neverthrow.Result<serviceDocument.ServiceDocument, readonly problem.Problem[]> {
  const problems = [...documentRules.documentProblems(document)]
  return problems.length === 0 ? neverthrow.ok(document) : neverthrow.err(problems)
}

/**
 * Parses and checks a service document in JSON with comments.
 *
 * @example
 * ```ts
 * const document = parseServiceDocument(text)
 * if (document.isErr()) print(document.error.message)
 * ```
 */
export function parseServiceDocument (text: string): neverthrow.Result<serviceDocument.ServiceDocument, InvalidDocument> {
  return neverthrow.safeTry<serviceDocument.ServiceDocument, readonly problem.Problem[]>(function * () {
    const value = yield * parseJsonc.parseJsonc(text)
    const document = yield * checkSchema.checkSchema(serviceDocument.schema, value)
    return checkRules(document)
  }).mapErr((problems) => new InvalidDocument(problems))
}
