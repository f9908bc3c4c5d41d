import { ConditionFailedError, OutcomeUnknownError, PlatformError, RejectedError, UnreachableError } from './PlatformError'
import { type PlatformServiceOptions, SignedClient } from './SignedClient'
import { type PutOptions, type QueryOptions, type Row, type RowKey, TableStore } from './TableStore'

/** @public */
export interface DynamoTableStoreOptions extends PlatformServiceOptions {
  readonly table: string
}

/** A row in the attribute-value format of the DynamoDB protocol. */
interface Item {
  readonly partition: { readonly S: string }
  readonly sort: { readonly S: string }
  readonly version: { readonly N: string }
  readonly value: { readonly S: string }
}

/** Errors that guarantee that the operation was not applied. */
const NOT_APPLIED_ERRORS = new Set([
  'ProvisionedThroughputExceededException', 'RequestLimitExceeded', 'ThrottlingException', 'LimitExceededException',
  'ServiceUnavailable', 'ServiceUnavailableException', 'TransactionConflictException'
])

/**
 * Table store that uses the DynamoDB JSON protocol (API version 2012-08-10). The table needs a string partition key
 * named `partition` and a string sort key named `sort`.
 *
 * @public
 */
export class DynamoTableStore extends TableStore {
  private readonly client: SignedClient

  constructor (private readonly options: DynamoTableStoreOptions) {
    super()
    this.client = new SignedClient('dynamodb', options)
  }

  override async get (key: RowKey): Promise<Row | undefined> {
    const { Item: item } = await this.read<{ Item?: Item }>('GetItem', { Key: toKey(key), ConsistentRead: true })
    return item === undefined ? undefined : toRow(item)
  }

  override async put (row: Row, { expected }: PutOptions = {}): Promise<void> {
    await this.call('PutItem', { Item: toItem(row), ...toConditionParameters(expected) })
  }

  override async query ({ partition, prefix = '' }: QueryOptions): Promise<Row[]> {
    const rows: Row[] = []
    let exclusiveStartKey: object | undefined
    do {
      const page: { Items: Item[], LastEvaluatedKey?: object } = await this.read('Query', {
        ConsistentRead: true,
        KeyConditionExpression: prefix === ''
          ? '#partition = :partition'
          : '#partition = :partition AND begins_with(#sort, :prefix)',
        ExpressionAttributeNames: { '#partition': 'partition', ...(prefix === '' ? {} : { '#sort': 'sort' }) },
        ExpressionAttributeValues: {
          ':partition': { S: partition }, ...(prefix === '' ? {} : { ':prefix': { S: prefix } })
        },
        ...(exclusiveStartKey === undefined ? {} : { ExclusiveStartKey: exclusiveStartKey })
      })
      rows.push(...page.Items.map(toRow))
      exclusiveStartKey = page.LastEvaluatedKey
    } while (exclusiveStartKey !== undefined)
    return rows
  }

  override async delete (key: RowKey): Promise<void> {
    await this.call('DeleteItem', { Key: toKey(key) })
  }

  override async close (): Promise<void> {
    await this.client.close()
  }

  /** Reports an unknown outcome as an unreachable service, because a read has no side effects. */
  private async read<Output> (operation: string, input: object): Promise<Output> {
    try {
      return await this.call<Output>(operation, input)
    } catch (err) {
      if (err instanceof OutcomeUnknownError) throw new UnreachableError(operation, { cause: err })
      throw err
    }
  }

  private async call<Output> (operation: string, input: object): Promise<Output> {
    const { status, body } = await this.client.send({
      method: 'POST',
      path: '/',
      headers: {
        'content-type': 'application/x-amz-json-1.0', 'x-amz-target': `DynamoDB_20120810.${operation}`
      },
      body: Buffer.from(JSON.stringify({ TableName: this.options.table, ...input }))
    })
    const text = Buffer.from(body).toString()
    if (status === 200) return JSON.parse(text)
    throw toError(operation, status, text)
  }
}

function toError (operation: string, status: number, text: string): InstanceType<typeof PlatformError> {
  const name = readErrorName(text)
  const message = `${operation}: ${status} ${name}`
  if (name === 'ConditionalCheckFailedException') return new ConditionFailedError(message)
  if (NOT_APPLIED_ERRORS.has(name)) return new UnreachableError(message)
  // After a 5xx response the write may or may not have been applied.
  return status >= 500 ? new OutcomeUnknownError(message) : new RejectedError(message)
}

function readErrorName (text: string): string {
  try {
    return String(JSON.parse(text).__type).replace(/^.*#/, '')
  } catch {
    return 'non-JSON response'
  }
}

function toConditionParameters (expected: PutOptions['expected']): object {
  if (expected === undefined) return {}
  if (expected === 'absent') {
    return {
      ConditionExpression: 'attribute_not_exists(#partition)',
      ExpressionAttributeNames: { '#partition': 'partition' }
    }
  }
  return {
    ConditionExpression: '#version = :version',
    ExpressionAttributeNames: { '#version': 'version' },
    ExpressionAttributeValues: { ':version': { N: String(expected) } }
  }
}

function toKey ({ partition, sort }: RowKey): object {
  return { partition: { S: partition }, sort: { S: sort } }
}

function toItem ({ partition, sort, version, value }: Row): Item {
  return { partition: { S: partition }, sort: { S: sort }, version: { N: String(version) }, value: { S: value } }
}

function toRow ({ partition, sort, version, value }: Item): Row {
  return { partition: partition.S, sort: sort.S, version: Number(version.N), value: value.S }
}
