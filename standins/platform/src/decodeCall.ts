import type { IncomingMessage } from 'node:http'
import type { ItemKey, PlatformCall, PutCondition } from './PlatformEvent'
import type { StoredItem } from './PlatformState'

interface StringAttribute { readonly S: string }

/** The DynamoDB request fields that the stand-in supports. */
interface TableInput {
  readonly TableName: string
  readonly Key?: { readonly partition: StringAttribute, readonly sort: StringAttribute }
  readonly Item?: Record<string, unknown> & {
    readonly partition: StringAttribute
    readonly sort: StringAttribute
    readonly version?: { readonly N: string }
  }
  readonly ConditionExpression?: string
  readonly KeyConditionExpression?: string
  readonly ExpressionAttributeValues?: Record<string, { readonly S?: string, readonly N?: string }>
}

/**
 * Decodes a call of the DynamoDB JSON protocol or of S3 REST.
 *
 * @param req - method, path and headers
 * @param body - the whole body
 * @returns the call, or undefined if the stand-in does not support it
 * @internal
 */
export function decodeCall (req: IncomingMessage, body: Uint8Array): PlatformCall | undefined {
  const target = req.headers['x-amz-target']
  if (typeof target === 'string') return decodeTableCall(target, JSON.parse(Buffer.from(body).toString()))
  if (req.method === 'PUT') return { kind: 'putObject', path: req.url!, bytes: body }
  if (req.method === 'GET') return { kind: 'getObject', path: req.url! }
  return undefined
}

function decodeTableCall (target: string, input: TableInput): PlatformCall | undefined {
  const values = input.ExpressionAttributeValues ?? {}
  switch (target) {
    case 'DynamoDB_20120810.GetItem': return { kind: 'getItem', key: decodeKey(input) }
    case 'DynamoDB_20120810.DeleteItem': return { kind: 'deleteItem', key: decodeKey(input) }
    case 'DynamoDB_20120810.PutItem':
      return { kind: 'putItem', table: input.TableName, item: decodeItem(input), condition: decodeCondition(input) }
    case 'DynamoDB_20120810.Query': return {
      kind: 'query',
      table: input.TableName,
      partition: values[':partition']!.S!,
      prefix: values[':prefix']?.S ?? ''
    }
  }
}

function decodeKey ({ TableName, Key }: TableInput): ItemKey {
  return { table: TableName, partition: Key!.partition.S, sort: Key!.sort.S }
}

function decodeItem ({ Item }: TableInput): StoredItem {
  const { partition, sort, version } = Item!
  return {
    partition: partition.S,
    sort: sort.S,
    version: version === undefined ? undefined : Number(version.N),
    attributes: Item!
  }
}

function decodeCondition ({ ConditionExpression, ExpressionAttributeValues }: TableInput): PutCondition | undefined {
  switch (ConditionExpression) {
    case undefined: return undefined
    case 'attribute_not_exists(#partition)': return { kind: 'absent' }
    case '#version = :version':
      return { kind: 'version', version: Number(ExpressionAttributeValues![':version']!.N) }
    default: throw new Error(`unsupported condition expression: ${ConditionExpression}`)
  }
}
