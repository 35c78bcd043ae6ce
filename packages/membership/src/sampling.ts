/**
 * Random sampling with an injected random source.
 *
 * @module
 */
import type * as protocol from '@persimmonhatch/protocol'

/**
 * Returns a copy in random order (Fisher and Yates, in Durstenfeld's form: CACM 7(7), Algorithm 235, 1964).
 *
 * @example
 * ```ts
 * shuffle(['a', 'b', 'c'], random)
 * ```
 */
export function shuffle<Item> (items: readonly Item[], random: protocol.Random): readonly Item[] {
  const copy = [...items]
  for (let lastIndex = copy.length - 1; lastIndex > 0; lastIndex--) {
    const otherIndex = Math.floor(random() * (lastIndex + 1))
    const moved = copy[lastIndex] as Item
    copy[lastIndex] = copy[otherIndex] as Item
    copy[otherIndex] = moved
  }
  return copy
}

/**
 * Returns up to `count` distinct items.
 *
 * @example
 * ```ts
 * sample(['a', 'b', 'c'], 2, random).length // 2
 * ```
 */
export function sample<Item> (items: readonly Item[], count: number, random: protocol.Random): readonly Item[] {
  if (items.length <= count * 4) return shuffle(items, random).slice(0, count)
  const chosen = new Set<number>()
  while (chosen.size < count) chosen.add(Math.floor(random() * items.length))
  return [...chosen].map((index) => items[index] as Item)
}
