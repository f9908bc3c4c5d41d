import type { ResponseBody } from '../body/ResponseBody'

/** Header names and values in the order received. @public */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>

/** Method, target and headers of a request. @public */
export interface RequestHead {
  readonly method: string
  /** Path with query, as received. */
  readonly target: string
  readonly headers: HeaderList
}

/** A complete response with its body in memory. @public */
export interface BufferedResponse {
  readonly status: number
  readonly headers: HeaderList
  readonly body: Buffer
}

/** A response of a backend server that is passed on. @internal */
export interface Answer {
  readonly status: number
  readonly headers: HeaderList
  readonly body: ResponseBody
}

/**
 * @param raw - alternating names and values, as in `rawHeaders` of Node
 * @returns the headers
 * @internal
 */
export function parseRawHeaders (raw: readonly string[]): HeaderList {
  const headers: Array<readonly [string, string]> = []
  for (let index = 0; index + 1 < raw.length; index += 2) headers.push([raw[index]!, raw[index + 1]!])
  return headers
}

/**
 * @param headers - headers to search
 * @param name - header name in lower case
 * @returns all values of the header
 * @public
 */
export function getHeaderValues (headers: HeaderList, name: string): string[] {
  return headers.filter(([key]) => key.toLowerCase() === name).map(([, value]) => value)
}
