import type { HeaderList } from './RequestHead'

/**
 * Groups headers by name for a request of Node. Names do not differ by case, and may be those of properties that every
 * object inherits, such as `constructor`.
 *
 * @param headers - the headers
 * @returns the values of each name, under the spelling that came first
 * @internal
 */
export function groupHeaders (headers: HeaderList): Record<string, string | string[]> {
  const spellings = new Map<string, string>()
  const grouped = Object.create(null) as Record<string, string | string[]>
  for (const [name, value] of headers) {
    const spelling = spellings.get(name.toLowerCase()) ?? name
    spellings.set(name.toLowerCase(), spelling)
    const existing = grouped[spelling]
    grouped[spelling] = existing === undefined ? value : [existing, value].flat()
  }
  return grouped
}
