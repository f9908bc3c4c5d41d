import {
  type Credentials, DynamoTableStore, type ObjectStore, S3ObjectStore, type TableStore
} from '@lavenderturn/platform'

/** The platform's services as a node uses them. @public */
export interface PlatformStores {
  readonly table: TableStore
  readonly objects: ObjectStore
}

/** Addresses of the platform's services. @public */
export interface PlatformAddresses {
  readonly tableEndpoint: string
  readonly table: string
  readonly objectEndpoint: string
  readonly bucket: string
  readonly region?: string
  readonly credentials: Credentials
}

/**
 * Makes clients of the platform; nothing is connected before the first call.
 *
 * @param addresses - where the services are, and as whom to call them
 * @returns the clients
 * @public
 */
export function connectPlatform ({
  tableEndpoint, table, objectEndpoint, bucket, region, credentials
}: PlatformAddresses): PlatformStores {
  return {
    table: new DynamoTableStore({ endpoint: tableEndpoint, table, region, credentials }),
    objects: new S3ObjectStore({ endpoint: objectEndpoint, bucket, region, credentials, timeoutMs: OBJECT_TIMEOUT_MS })
  }
}

/** A snapshot of 220,000 teams is some 20 MB. */
const OBJECT_TIMEOUT_MS = 5_000
