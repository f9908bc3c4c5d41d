import aws4 from 'aws4'
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
  // The date of the call is among the signed headers, so that the signature does not depend on the time of this check.
  const headers: Record<string, string> = {}
  for (const name of signedHeaders!.split(';')) headers[name] = String(req.headers[name] ?? '')
  const signed = aws4.sign({
    service,
    region,
    method: req.method,
    path: req.url,
    host: req.headers.host,
    headers,
    // An empty body counts as one that needs a content type.
    body: body.length > 0 ? Buffer.from(body) : undefined
  } as Parameters<typeof aws4.sign>[0], credentials)
  return signed.headers?.Authorization === received
}
