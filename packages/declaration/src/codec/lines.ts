import { EncodingError } from './EncodingError'

/** Version of the encodings. Decoders reject other versions. */
const FORMAT_VERSION = 1

const LINE_FEED = 10

/** Lines are converted to bytes in chunks, so that the whole declaration never exists as one string. */
const LINES_PER_CHUNK = 4_096

/**
 * Encodes records as JSON lines. The last line contains their count, so that decoders detect truncated bytes.
 *
 * @param kind - what the records represent: `declaration` or `delta`
 * @param records - JSON values
 * @returns the encoded bytes
 * @internal
 */
export function encodeLines (kind: string, records: Iterable<readonly unknown[]>): Uint8Array {
  const chunks: Buffer[] = []
  let lines = [JSON.stringify(['lavenderturn', kind, FORMAT_VERSION])]
  let count = 0
  for (const record of records) {
    lines.push(JSON.stringify(record))
    count += 1
    if (lines.length < LINES_PER_CHUNK) continue
    chunks.push(Buffer.from(`${lines.join('\n')}\n`))
    lines = []
  }
  lines.push(JSON.stringify(['end', count]))
  chunks.push(Buffer.from(`${lines.join('\n')}\n`))
  return Buffer.concat(chunks)
}

/**
 * Decodes the output of `encodeLines` line by line.
 *
 * @param kind - what the records represent: `declaration` or `delta`
 * @param bytes - the encoded bytes
 * @returns the records
 * @throws EncodingError if the bytes are incomplete or of another kind or version
 * @internal
 */
export function * decodeLines (kind: string, bytes: Uint8Array): Generator<unknown[]> {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
  let [start, count, ended] = [0, -1, false]
  while (start < buffer.length) {
    const end = buffer.indexOf(LINE_FEED, start)
    if (ended || end < 0) throw new EncodingError('the encoding does not end with the number of its entries')
    const record = parseLine(buffer.toString('utf8', start, end))
    if (count < 0) checkHeader(kind, record)
    else if (record[0] === 'end') ended = checkEnd(record, count)
    else yield record
    count += 1
    start = end + 1
  }
  if (!ended) throw new EncodingError('the encoding does not end with the number of its entries')
}

function parseLine (line: string): unknown[] {
  try {
    const record: unknown = JSON.parse(line)
    if (Array.isArray(record)) return record
  } catch {
    // Falls through to the error below, which does not quote the line.
  }
  throw new EncodingError('a line of the encoding is not a JSON array')
}

function checkHeader (kind: string, [product, found, version]: unknown[]): void {
  if (product !== 'lavenderturn' || found !== kind) throw new EncodingError(`the bytes are not an encoded ${kind}`)
  if (version !== FORMAT_VERSION) throw new EncodingError(`version ${version} of the encoding is not supported`)
}

function checkEnd (record: unknown[], count: number): true {
  if (record[1] !== count) throw new EncodingError('the encoding does not contain the stated number of entries')
  return true
}
