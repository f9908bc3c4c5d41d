/** Header names and values in the order in which they came. @public */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>

/** A request without its body. @public */
export interface RequestHead {
  readonly method: string
  /** Path with query, as sent. */
  readonly target: string
  readonly headers: HeaderList
}

/** A whole answer. @public */
export interface WholeAnswer {
  readonly status: number
  readonly headers: HeaderList
  readonly body: Buffer
}

/**
 * @param raw - names and values by turns, as Node gives them
 * @returns the headers
 * @internal
 */
export function listHeaders (raw: readonly string[]): HeaderList {
  const headers: Array<readonly [string, string]> = []
  for (let index = 0; index + 1 < raw.length; index += 2) headers.push([raw[index]!, raw[index + 1]!])
  return headers
}

/**
 * @param headers - headers
 * @param name - name in lower case
 * @returns all values of that header
 * @public
 */
export function readHeader (headers: HeaderList, name: string): string[] {
  return headers.filter(([key]) => key.toLowerCase() === name).map(([, value]) => value)
}
