import {
  type Credentials, DynamoTableStore, type ObjectStore, S3ObjectStore, type TableStore
} from '@lavenderturn/platform'

/** Clients of the platform's services that a node uses. @public */
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
 * Creates clients of the platform. They connect on the first call.
 *
 * @param addresses - addresses of the services, and the credentials for them
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

/** A snapshot with 220,000 teams is about 20 MB. */
const OBJECT_TIMEOUT_MS = 5_000
