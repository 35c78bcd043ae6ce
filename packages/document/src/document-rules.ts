/**
 * Rules of a service document that span several of its values.
 *
 * @module
 */
import * as problem from './problem.js'
import type * as serviceDocument from './service-document.js'

type Document = serviceDocument.ServiceDocument

const MAX_OCTET = 255
const MAX_PORT = 65_535

function * repeated<Item> (items: readonly Item[], list: string, key: string, read: (item: Item) => string | number): Generator<problem.Problem> {
  const seen = new Map<string | number, number>()
  for (const [index, item] of items.entries()) {
    const value = read(item)
    const first = seen.get(value)
    if (first === undefined) {
      seen.set(value, index)
      continue
    }
    yield {
      path: problem.showPath([list, index, key]),
      value: problem.showValue(value),
      remedy: `already used by ${list}[${first}]: use another ${key} or remove one of the two`
    }
  }
}

function * repeatedTargets (document: Document): Generator<problem.Problem> {
  yield * repeated(document.targets, 'targets', 'name', (target) => target.name)
  yield * repeated(document.targets, 'targets', 'address', (target) => target.address)
}

function isAddress (address: string): boolean {
  const [host = '', port = ''] = address.split(':')
  const octets = host.split('.').map(Number)
  return octets.every((octet) => octet <= MAX_OCTET) && Number(port) >= 1 && Number(port) <= MAX_PORT
}

function * wrongAddresses (document: Document): Generator<problem.Problem> {
  for (const [index, target] of document.targets.entries()) {
    if (isAddress(target.address)) continue
    const remedy = `use octets up to ${MAX_OCTET} and a port from 1 to ${MAX_PORT}`
    yield { path: problem.showPath(['targets', index, 'address']), value: problem.showValue(target.address), remedy }
  }
}

function * unknownTiers (document: Document): Generator<problem.Problem> {
  const names = document.tiers.map((tier) => tier.name)
  const remedy = `no tier has this name: use one of ${names.join(', ')}`
  if (!names.includes(document.defaultTier)) {
    yield { path: 'defaultTier', value: problem.showValue(document.defaultTier), remedy }
  }
  for (const [index, rule] of document.requests.entries()) {
    if (rule.tier === undefined || names.includes(rule.tier)) continue
    yield { path: problem.showPath(['requests', index, 'tier']), value: problem.showValue(rule.tier), remedy }
  }
}

function * wrongPaths (document: Document): Generator<problem.Problem> {
  for (const [index, rule] of document.requests.entries()) {
    const star = rule.path.indexOf('*')
    if (star === -1 || star === rule.path.length - 1) continue
    yield { path: problem.showPath(['requests', index, 'path']), value: problem.showValue(rule.path), remedy: 'use * only as the last character' }
  }
}

function * wrongKind (document: Document): Generator<problem.Problem> {
  if (document.kind === 'model' || document.engine === undefined) return
  yield { path: 'engine', value: problem.showValue(document.engine), remedy: 'remove it, or set kind to model: only model engines load models' }
}

/**
 * Problems of a document whose values are right one by one.
 *
 * @example
 * ```ts
 * for (const problem of documentProblems(document)) print(describeProblem(problem))
 * ```
 */
export function * documentProblems (document: Document): Generator<problem.Problem> {
  yield * repeated(document.tiers, 'tiers', 'name', (tier) => tier.name)
  yield * repeated(document.tiers, 'tiers', 'rank', (tier) => tier.rank)
  yield * repeated(document.organisations, 'organisations', 'name', (organisation) => organisation.name)
  yield * repeated(document.requests, 'requests', 'path', (rule) => `${rule.method} ${rule.path}`)
  yield * repeatedTargets(document)
  yield * wrongAddresses(document)
  yield * unknownTiers(document)
  yield * wrongPaths(document)
  yield * wrongKind(document)
}
