import { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import { startAccount } from '../fixtures/startAccount'
import { SpooledBody } from './SpooledBody'

const MEBIBYTE = 1_048_576
const PIECE = Buffer.alloc(65_536, 'x')

interface BodyFixture {
  readonly message: IncomingMessage
  readonly body: SpooledBody
  readonly res: ServerResponse
  /** What the receiver has taken; nothing is taken until it reads. */
  readonly received: () => number
  readonly read: () => void
  readonly usedBytes: () => number
}

/** Makes the body of a response of a server, and the response to a receiver, without a network. */
function makeBody ({ bodyBytes = 2 * MEBIBYTE, isReusable = false } = {}): BodyFixture {
  const { runtime, account } = startAccount({ bodyBytes })
  const message = new IncomingMessage(new Socket())
  const share = account.openShare({ purpose: 'response', stage: 'reading' })
  const body = new SpooledBody({ message, share, isReusable, maxBytes: 32 * MEBIBYTE })
  const req = new IncomingMessage(new Socket())
  req.complete = true
  const res = new ServerResponse(req)
  const connection = new PassThrough({ highWaterMark: 16_384 })
  res.assignSocket(connection as unknown as Socket)
  // The HTTP server does this for its connections.
  connection.on('drain', () => { res.emit('drain') })
  res.on('finish', () => { res.emit('close') })
  let received = 0
  return {
    message,
    body,
    res,
    received: () => received,
    read: () => { connection.on('data', (piece: Buffer) => { received += piece.length }) },
    usedBytes: () => runtime.query(({ memory }) => memory.usedBytes)
  }
}

function pushPieces ({ message }: BodyFixture, count: number, { isEnd = false } = {}): void {
  for (let index = 0; index < count; index++) message.push(PIECE)
  if (!isEnd) return
  message.complete = true
  message.push(null)
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < 50; turn++) await nextTurn()
}

describe('the body of a response', () => {
  // Guards against attempts that cannot be repeated elsewhere although there is memory for the whole response.
  it('is passed on as a whole while memory suffices', async () => {
    const fixture = makeBody()
    pushPieces(fixture, 8, { isEnd: true })
    await fixture.body.ready
    expect(fixture.body.isWhole).toBe(true)
    expect(fixture.body.length).toBe(8 * PIECE.length)
  })

  // Guards against a node that holds a long response as a whole because its receiver is slow.
  it('is read no faster than its receiver takes it once it needs more than its part of the memory', async () => {
    const fixture = makeBody()
    pushPieces(fixture, 64)
    await fixture.body.ready
    expect([fixture.body.isWhole, fixture.message.isPaused()]).toEqual([false, true])
    fixture.body.send(fixture.res)
    await settle()
    expect(fixture.message.isPaused()).toBe(true)
    expect(fixture.usedBytes()).toBeLessThanOrEqual(2 * MEBIBYTE)
    fixture.read()
    pushPieces(fixture, 0, { isEnd: true })
    await settle()
    expect(fixture.received()).toBeGreaterThanOrEqual(64 * PIECE.length)
    expect(fixture.usedBytes()).toBe(0)
  })

  // Guards against a truncated response that looks complete to its receiver.
  it('closes the connection of its receiver if it breaks off after its beginning was passed on', async () => {
    const fixture = makeBody()
    pushPieces(fixture, 64)
    await fixture.body.ready
    fixture.body.send(fixture.res)
    fixture.message.destroy(new Error('connection reset'))
    expect(await fixture.body.whenEnded).toBe('broken')
    expect([fixture.res.destroyed, fixture.res.writableEnded, fixture.usedBytes()]).toEqual([true, false, 0])
  })

  // Guards against a server that works for a receiver which has gone.
  it('is no longer read when its receiver has gone', async () => {
    const fixture = makeBody()
    pushPieces(fixture, 64)
    await fixture.body.ready
    fixture.body.send(fixture.res)
    fixture.res.socket!.destroy()
    expect(await fixture.body.whenEnded).toBe('discarded')
    expect([fixture.message.destroyed, fixture.usedBytes()]).toEqual([true, 0])
  })

  // Guards against a response that is lost with the connection to a gateway although it was read completely.
  it('can be sent again if it was kept, and is free once it is discarded', async () => {
    const fixture = makeBody({ isReusable: true })
    pushPieces(fixture, 4, { isEnd: true })
    await fixture.body.ready
    fixture.body.send(fixture.res)
    fixture.res.socket!.destroy()
    await settle()
    expect([fixture.body.canSend, fixture.usedBytes() > 0]).toEqual([true, true])
    fixture.body.discard()
    expect([fixture.body.canSend, fixture.usedBytes()]).toEqual([false, 0])
  })
})
