import { EncodingError } from './EncodingError'

/** Version of the encodings; a decoder refuses any other. */
const FORMAT_VERSION = 1

const LINE_FEED = 10

/** Encoders join lines into pieces of this many, so that no text of the whole declaration is built. */
const LINES_PER_PIECE = 4_096

/**
 * Encodes records as JSON lines. The last line holds their count, so that a part of the bytes is never taken for the
 * whole.
 *
 * @param kind - what the records make up
 * @param records - JSON values
 * @returns the bytes
 * @internal
 */
export function encodeLines (kind: string, records: Iterable<readonly unknown[]>): Uint8Array {
  const pieces: Buffer[] = []
  let lines = [JSON.stringify(['lavenderturn', kind, FORMAT_VERSION])]
  let count = 0
  for (const record of records) {
    lines.push(JSON.stringify(record))
    count += 1
    if (lines.length < LINES_PER_PIECE) continue
    pieces.push(Buffer.from(`${lines.join('\n')}\n`))
    lines = []
  }
  lines.push(JSON.stringify(['end', count]))
  pieces.push(Buffer.from(`${lines.join('\n')}\n`))
  return Buffer.concat(pieces)
}

/**
 * Decodes what `encodeLines` wrote, line by line.
 *
 * @param kind - what the records make up
 * @param bytes - the bytes
 * @returns the records
 * @throws EncodingError - the bytes are incomplete or not of this kind and version
 * @internal
 */
export function * decodeLines (kind: string, bytes: Uint8Array): Generator<unknown[]> {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
  let [start, count, ended] = [0, -1, false]
  while (start < buffer.length) {
    const end = buffer.indexOf(LINE_FEED, start)
    if (ended || end < 0) throw new EncodingError('the encoding does not end with its count')
    const record = parseLine(buffer.toString('utf8', start, end))
    if (count < 0) checkHeader(kind, record)
    else if (record[0] === 'end') ended = checkEnd(record, count)
    else yield record
    count += 1
    start = end + 1
  }
  if (!ended) throw new EncodingError('the encoding does not end with its count')
}

function parseLine (line: string): unknown[] {
  try {
    const record: unknown = JSON.parse(line)
    if (Array.isArray(record)) return record
  } catch {
    // Reported below, without the text.
  }
  throw new EncodingError('a line of the encoding is not a JSON list')
}

function checkHeader (kind: string, [product, found, version]: unknown[]): void {
  if (product !== 'lavenderturn' || found !== kind) throw new EncodingError(`the bytes are not an encoded ${kind}`)
  if (version !== FORMAT_VERSION) throw new EncodingError(`the version ${version} of the encoding is not supported`)
}

function checkEnd (record: unknown[], count: number): true {
  if (record[1] !== count) throw new EncodingError('the encoding does not hold as many entries as it says')
  return true
}
