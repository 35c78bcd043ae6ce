/**
 * Checks of a service document that involve several of its values.
 *
 * @module
 */
import * as problem from './problem.js'
import type * as serviceDocument from './service-document.js'

type Document = serviceDocument.ServiceDocument

const MAX_OCTET = 255
const MAX_PORT = 65_535

function * duplicates<Item> (items: readonly Item[], listName: string, key: string, getValue: (item: Item) => string | number): Generator<problem.Problem> {
  const firstIndexes = new Map<string | number, number>()
  for (const [index, item] of items.entries()) {
    const value = getValue(item)
    const firstIndex = firstIndexes.get(value)
    if (firstIndex === undefined) {
      firstIndexes.set(value, index)
      continue
    }
    yield {
      path: problem.formatPath([listName, index, key]),
      value: problem.formatValue(value),
      remedy: `already used by ${listName}[${firstIndex}]: use another ${key} or remove one of the two`
    }
  }
}

function * duplicateTargets (document: Document): Generator<problem.Problem> {
  yield * duplicates(document.targets, 'targets', 'name', (target) => target.name)
  yield * duplicates(document.targets, 'targets', 'address', (target) => target.address)
}

function isAddress (address: string): boolean {
  const [host = '', port = ''] = address.split(':')
  const octets = host.split('.').map(Number)
  return octets.every((octet) => octet <= MAX_OCTET) && Number(port) >= 1 && Number(port) <= MAX_PORT
}

function * invalidAddresses (document: Document): Generator<problem.Problem> {
  for (const [index, target] of document.targets.entries()) {
    if (isAddress(target.address)) continue
    const remedy = `use octets up to ${MAX_OCTET} and a port from 1 to ${MAX_PORT}`
    yield { path: problem.formatPath(['targets', index, 'address']), value: problem.formatValue(target.address), remedy }
  }
}

function * unknownTiers (document: Document): Generator<problem.Problem> {
  const names = document.tiers.map((tier) => tier.name)
  const remedy = `no tier has this name: use one of ${names.join(', ')}`
  if (!names.includes(document.defaultTier)) {
    yield { path: 'defaultTier', value: problem.formatValue(document.defaultTier), remedy }
  }
  for (const [index, rule] of document.requests.entries()) {
    if (rule.tier === undefined || names.includes(rule.tier)) continue
    yield { path: problem.formatPath(['requests', index, 'tier']), value: problem.formatValue(rule.tier), remedy }
  }
}

function * invalidPaths (document: Document): Generator<problem.Problem> {
  for (const [index, rule] of document.requests.entries()) {
    const starIndex = rule.path.indexOf('*')
    if (starIndex === -1 || starIndex === rule.path.length - 1) continue
    yield { path: problem.formatPath(['requests', index, 'path']), value: problem.formatValue(rule.path), remedy: 'use * only as the last character' }
  }
}

function * engineOfPlainService (document: Document): Generator<problem.Problem> {
  if (document.kind === 'model' || document.engine === undefined) return
  yield { path: 'engine', value: problem.formatValue(document.engine), remedy: 'remove it, or set kind to model: only model engines load models' }
}

/**
 * Yields the problems of a document that conforms to the schema.
 *
 * @example
 * ```ts
 * for (const problem of documentProblems(document)) print(formatProblem(problem))
 * ```
 */
export function * documentProblems (document: Document): Generator<problem.Problem> {
  yield * duplicates(document.tiers, 'tiers', 'name', (tier) => tier.name)
  yield * duplicates(document.tiers, 'tiers', 'rank', (tier) => tier.rank)
  yield * duplicates(document.organisations, 'organisations', 'name', (organisation) => organisation.name)
  yield * duplicates(document.requests, 'requests', 'path', (rule) => `${rule.method} ${rule.path}`)
  yield * duplicateTargets(document)
  yield * invalidAddresses(document)
  yield * unknownTiers(document)
  yield * invalidPaths(document)
  yield * engineOfPlainService(document)
}
