import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { describe, expect, it } from 'vitest'
import { BodyBuffer } from './BodyBuffer'

const MEBIBYTE = 1_048_576

function measureHeapBytes (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

describe('BodyBuffer', () => {
  // Guards against a body in small chunks whose objects fill the heap long before its bytes reach the size limit.
  it('uses little more memory than the bytes of a body in pieces of one byte', () => {
    const before = measureHeapBytes()
    const body = new BodyBuffer()
    for (let index = 0; index < MEBIBYTE; index++) body.add(Buffer.from('x'))
    expect(measureHeapBytes() - before).toBeLessThan(4 * MEBIBYTE)
    expect(body.size).toBe(MEBIBYTE)
  })

  it.each([[[]], [[5]], [[1, 1]], [[0, 3, 0]], [[70_000, 1, 16_383, 16_384, 16_385, 70_000]]])(
    'concatenates pieces of %j bytes in order', (sizes) => {
      const pieces = sizes.map((size, index) => Buffer.alloc(size, index + 1))
      const body = new BodyBuffer()
      for (const piece of pieces) body.add(piece)
      expect(body.size).toBe(sizes.reduce((sum, size) => sum + size, 0))
      expect(body.concat().equals(Buffer.concat(pieces))).toBe(true)
      expect(Buffer.concat(body.pieces).equals(Buffer.concat(pieces))).toBe(true)
    }
  )

  // Guards against bytes that are lost or doubled when a response is passed on while it is read.
  it('gives the bytes back in order, whatever is added between', () => {
    const sizes = [3, 70_000, 1, 1, 20_000, 16_384, 5]
    const pieces = sizes.map((size, index) => Buffer.alloc(size, index + 1))
    const body = new BodyBuffer()
    const taken: Buffer[] = []
    for (const [index, piece] of pieces.entries()) {
      body.add(piece)
      if (index % 2 === 1) taken.push(body.takeFirst()!)
    }
    while (body.size > 0) taken.push(body.takeFirst()!)
    expect(Buffer.concat(taken).equals(Buffer.concat(pieces))).toBe(true)
    expect(body.takeFirst()).toBeUndefined()
  })

  // Guards against small pieces that each keep the buffer alive into which the socket read them.
  it('copies small pieces of a large read buffer', () => {
    const body = new BodyBuffer()
    for (let index = 0; index < 3; index++) body.add(Buffer.alloc(65_536).subarray(0, 20_000))
    expect(body.pieces.slice(1).every(({ buffer }) => buffer.byteLength < 65_536)).toBe(true)
  })
})
