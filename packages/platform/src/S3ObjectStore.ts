import { type Digest, toId } from '@lavenderturn/types'
import { createHash } from 'node:crypto'
import { ObjectStore } from './ObjectStore'
import { OutcomeUnknownError, PlatformError, RejectedError, UnreachableError } from './PlatformError'
import { type PlatformServiceOptions, SignedClient } from './SignedClient'

/** @public */
export interface S3ObjectStoreOptions extends PlatformServiceOptions {
  readonly bucket: string
}

/** Object store that uses the S3 REST protocol with path-style URLs. @public */
export class S3ObjectStore extends ObjectStore {
  private readonly client: SignedClient

  constructor (private readonly options: S3ObjectStoreOptions) {
    super()
    this.client = new SignedClient('s3', options)
  }

  override async put (bytes: Uint8Array): Promise<Digest> {
    const digest = computeDigest(bytes)
    const { status } = await this.client.send({
      method: 'PUT',
      path: this.objectPath(digest),
      headers: { 'content-type': 'application/octet-stream', 'x-amz-content-sha256': digest },
      body: bytes
    })
    if (status !== 200) throw toError('PUT', status)
    return digest
  }

  override async get (digest: Digest): Promise<Uint8Array | undefined> {
    const { status, body } = await this.client.send({ method: 'GET', path: this.objectPath(digest) })
      .catch((err: unknown) => {
        if (err instanceof OutcomeUnknownError) throw new UnreachableError('GET', { cause: err })
        throw err
      })
    if (status === 404) return undefined
    if (status !== 200) throw toError('GET', status)
    if (computeDigest(body) !== digest) throw new RejectedError(`the content of object ${digest} does not match its digest`)
    return body
  }

  override async close (): Promise<void> {
    await this.client.close()
  }

  private objectPath (digest: Digest): string {
    return `/${this.options.bucket}/objects/${digest}`
  }
}

function toError (method: string, status: number): InstanceType<typeof PlatformError> {
  const message = `${method}: ${status}`
  if (status === 503 || status === 429) return new UnreachableError(message)
  return status >= 500 ? new OutcomeUnknownError(message) : new RejectedError(message)
}

function computeDigest (bytes: Uint8Array): Digest {
  return toId(createHash('sha256').update(bytes).digest('hex'))
}
