import { type PlatformStandin, STANDIN_CREDENTIALS, startPlatformStandin } from '@lavenderturn/standin-platform'
import { toId } from '@lavenderturn/types'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { DynamoTableStore } from './DynamoTableStore'
import { ConditionFailedError, OutcomeUnknownError, RejectedError, UnreachableError } from './PlatformError'
import { S3ObjectStore } from './S3ObjectStore'
import type { PlatformServiceOptions } from './SignedClient'

const HEAD = { partition: 'control', sort: 'head' }

describe('platform clients', () => {
  let standin: PlatformStandin
  let table: DynamoTableStore
  let objects: S3ObjectStore

  function connect (options: Partial<PlatformServiceOptions> = {}): void {
    const service = { endpoint: standin.endpoint, credentials: STANDIN_CREDENTIALS, timeoutMs: 200, ...options }
    table = new DynamoTableStore({ ...service, table: 'lavenderturn' })
    objects = new S3ObjectStore({ ...service, bucket: 'lavenderturn' })
  }

  beforeEach(async () => {
    standin = await startPlatformStandin()
    connect()
  })
  afterEach(async () => {
    await Promise.all([table.close(), objects.close()])
    await standin.close()
  })

  // Guards against a conditional put that succeeds for two concurrent writers, and against corrupted rows.
  it('writes a row only if the condition is met', async () => {
    expect(await table.get(HEAD)).toBeUndefined()
    await table.put({ ...HEAD, version: 1, value: 'first' }, { expected: 'absent' })
    await expect(table.put({ ...HEAD, version: 1, value: 'other' }, { expected: 'absent' }))
      .rejects.toBeInstanceOf(ConditionFailedError)
    await table.put({ ...HEAD, version: 2, value: 'second' }, { expected: 1 })
    await expect(table.put({ ...HEAD, version: 2, value: 'other' }, { expected: 1 }))
      .rejects.toBeInstanceOf(ConditionFailedError)
    expect(await table.get(HEAD)).toEqual({ ...HEAD, version: 2, value: 'second' })
  })

  // Guards against a starting node that misses members, and against members that remain listed after they left.
  it('queries rows by partition and prefix, and deletes them', async () => {
    for (const sort of ['node/b', 'node/a', 'other']) {
      await table.put({ partition: 'members', sort, version: 1, value: sort })
    }
    const listed = await table.query({ partition: 'members', prefix: 'node/' })
    expect(listed.map(({ sort }) => sort)).toEqual(['node/a', 'node/b'])
    await table.delete({ partition: 'members', sort: 'node/a' })
    expect(await table.query({ partition: 'members' })).toHaveLength(2)
    expect(await table.query({ partition: 'control' })).toEqual([])
  })

  // Guards against an object whose content does not match its digest.
  it('stores objects by digest', async () => {
    const digest = await objects.put(Buffer.from('a snapshot'))
    expect(digest).toBe('4fd24382e6a60f42a9b4a85f8135fd29c109de63d8c604138b6817cdec77d3c0')
    expect(Buffer.from((await objects.get(digest))!).toString()).toBe('a snapshot')
    expect(await objects.get(toId('0'.repeat(64)))).toBeUndefined()
  })

  // Guards against reporting "not applied" for a write that was applied.
  it('distinguishes a lost response from a write that was not applied', async () => {
    standin.setFaults({ loseWriteAnswers: 1 })
    await expect(table.put({ ...HEAD, version: 1, value: 'lost' })).rejects.toBeInstanceOf(OutcomeUnknownError)
    expect(await table.get(HEAD)).toMatchObject({ value: 'lost' })
    standin.setFaults({ outage: 'unavailable' })
    await expect(table.put({ ...HEAD, version: 2, value: 'refused' })).rejects.toBeInstanceOf(UnreachableError)
    standin.setFaults({ outage: 'none' })
    expect(await table.get(HEAD)).toMatchObject({ value: 'lost' })
  })

  // Guards against requests that hang while the store is down, and against the wrong error class.
  it.each([
    ['silent', OutcomeUnknownError], ['reset', OutcomeUnknownError], ['unavailable', UnreachableError]
  ] as const)('fails requests during an outage of kind %s', async (outage, expected) => {
    standin.setFaults({ outage })
    await expect(table.put({ ...HEAD, version: 1, value: 'x' })).rejects.toBeInstanceOf(expected)
    await expect(objects.put(Buffer.from('x'))).rejects.toBeInstanceOf(expected)
    await expect(table.get(HEAD)).rejects.toBeInstanceOf(UnreachableError)
    await expect(objects.get(toId('0'.repeat(64)))).rejects.toBeInstanceOf(UnreachableError)
  })

  // Guards against reporting "not written" for a write that is applied after the timeout.
  it('reports an unknown outcome for a write that is applied after the timeout', async () => {
    standin.setFaults({ delayMs: 300 })
    await expect(table.put({ ...HEAD, version: 1, value: 'late' })).rejects.toBeInstanceOf(OutcomeUnknownError)
  })

  // Guards against reporting an unknown outcome to the operator although the request never reached a store.
  it('reports that nothing was written if no connection could be established', async () => {
    await standin.close()
    await expect(table.put({ ...HEAD, version: 1, value: 'x' })).rejects.toBeInstanceOf(UnreachableError)
    standin = await startPlatformStandin()
  })

  // Guards against missing or invalid signatures, which the real services reject.
  it('is rejected with wrong credentials', async () => {
    connect({ credentials: { ...STANDIN_CREDENTIALS, secretAccessKey: 'wrong' } })
    await expect(table.get(HEAD)).rejects.toBeInstanceOf(RejectedError)
    await expect(objects.put(Buffer.from('x'))).rejects.toBeInstanceOf(RejectedError)
  })
})
