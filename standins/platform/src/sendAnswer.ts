import type { ServerResponse } from 'node:http'
import type { PlatformAnswer } from './PlatformEffect'

/**
 * Encodes and sends the result of a call.
 *
 * @param res - the response
 * @param answer - result of the call
 * @internal
 */
export function sendAnswer (res: ServerResponse, answer: PlatformAnswer): void {
  switch (answer.kind) {
    case 'item': return sendJson(res, 200, answer.item === undefined ? {} : { Item: answer.item.attributes })
    case 'items': return sendJson(res, 200, {
      Items: answer.items.map(({ attributes }) => attributes), Count: answer.items.length
    })
    case 'done': return sendJson(res, 200, {})
    case 'conditionFailed': return sendError(res, 400, 'ConditionalCheckFailedException')
    case 'unavailable': return sendError(res, 503, 'ServiceUnavailable')
    case 'object':
      if (answer.bytes === undefined) return sendError(res, 404, 'NoSuchKey')
      res.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': answer.bytes.length })
      res.end(answer.bytes)
  }
}

/**
 * Sends an error in the DynamoDB encoding.
 *
 * @param res - the response
 * @param status - HTTP status
 * @param name - protocol name of the error
 * @internal
 */
export function sendError (res: ServerResponse, status: number, name: string): void {
  sendJson(res, status, { __type: `com.amazonaws.dynamodb.v20120810#${name}`, message: name })
}

function sendJson (res: ServerResponse, status: number, value: object): void {
  const body = JSON.stringify(value)
  res.writeHead(status, { 'content-type': 'application/x-amz-json-1.0', 'content-length': Buffer.byteLength(body) })
  res.end(body)
}
