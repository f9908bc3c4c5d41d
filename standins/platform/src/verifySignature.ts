import { sign } from 'aws4'
import type { IncomingMessage } from 'node:http'

/** @public */
export interface StandinCredentials {
  readonly accessKeyId: string
  readonly secretAccessKey: string
}

/**
 * Verifies the signature of a call by signing it again.
 *
 * @param req - the received call
 * @param body - its whole body
 * @param credentials - the only credentials that are accepted
 * @returns whether the call was signed with them and not changed since
 * @internal
 */
export function verifySignature (req: IncomingMessage, body: Uint8Array, credentials: StandinCredentials): boolean {
  const received = req.headers.authorization ?? ''
  const parts = /Credential=[^/]+\/\d+\/([^/]+)\/([^/]+)\/aws4_request, SignedHeaders=([^,]+),/.exec(received)
  if (parts === null) return false
  const [, region, service, signedHeaders] = parts
  const headers: Record<string, string> = {}
  for (const name of signedHeaders!.split(';')) headers[name] = String(req.headers[name] ?? '')
  const signed = sign({
    service,
    region,
    method: req.method,
    path: req.url,
    host: req.headers.host,
    headers,
    body: Buffer.from(body),
    doNotModifyHeaders: true
  } as Parameters<typeof sign>[0], credentials)
  return signed.headers?.Authorization === received
}
