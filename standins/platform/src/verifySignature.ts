import aws4 from 'aws4'
import type { IncomingMessage } from 'node:http'

/** Credentials that sign calls. @public */
export interface StandinCredentials {
  readonly accessKeyId: string
  readonly secretAccessKey: string
}

/**
 * Verifies the signature of a call by computing it again.
 *
 * @param req - the received call
 * @param body - its whole body
 * @param credentials - the only credentials that are accepted
 * @returns whether the call was signed with the credentials and not changed afterwards
 * @internal
 */
export function verifySignature (req: IncomingMessage, body: Uint8Array, credentials: StandinCredentials): boolean {
  const received = req.headers.authorization ?? ''
  const match = /Credential=[^/]+\/\d+\/([^/]+)\/([^/]+)\/aws4_request, SignedHeaders=([^,]+),/.exec(received)
  if (match === null) return false
  const [, region, service, signedHeaders] = match
  // The signed headers include the date of the call, so the result does not depend on the time of verification.
  const headers: Record<string, string> = {}
  for (const name of signedHeaders!.split(';')) headers[name] = String(req.headers[name] ?? '')
  const signed = aws4.sign({
    service,
    region,
    method: req.method,
    path: req.url,
    host: req.headers.host,
    headers,
    // aws4 adds a content type when the body is an empty buffer.
    body: body.length > 0 ? Buffer.from(body) : undefined
  } as Parameters<typeof aws4.sign>[0], credentials)
  return signed.headers?.Authorization === received
}
