import { type DataCentreId, type NodeId, type RegionId, toId } from '@lavenderturn/types'
import { endpointPolicies } from './endpointPolicies'
import {
  addressList, advertisedAddress, anyText, idText, listenAddress, loopbackAddress, oneOf, seed, storeUrl, wholeMillis
} from './schemas'
import { defineSettings, type SettingValues } from './SettingEntry'

/** Settings of `lavenderturn-node`. `docs/configuration.md` contains the same table; a test compares the two. */
export const nodeSettings = defineSettings({
  nodeId: {
    flag: 'node-id',
    env: 'LAVENDERTURN_NODE_ID',
    description: 'Id of this process; must not be used again after a restart. Made from host name and process by default',
    optional: true,
    schema: idText.transform((text) => toId<NodeId>(text))
  },
  dataCentre: {
    flag: 'data-centre',
    env: 'LAVENDERTURN_DATA_CENTRE',
    description: 'Data centre that the instance is in',
    schema: idText.transform((text) => toId<DataCentreId>(text))
  },
  region: {
    flag: 'region',
    env: 'LAVENDERTURN_REGION',
    description: 'Region that the data centre is in',
    schema: idText.transform((text) => toId<RegionId>(text))
  },
  callerAddress: {
    flag: 'caller-address',
    env: 'LAVENDERTURN_CALLER_ADDRESS',
    description: 'Where callers connect',
    default: '0.0.0.0:8080',
    schema: listenAddress
  },
  forwardAddress: {
    flag: 'forward-address',
    env: 'LAVENDERTURN_FORWARD_ADDRESS',
    description: 'Where gateways of other nodes connect; told to other nodes',
    default: '127.0.0.1:8081',
    schema: advertisedAddress
  },
  controlAddress: {
    flag: 'control-address',
    env: 'LAVENDERTURN_CONTROL_ADDRESS',
    description: 'Where other nodes send control messages; told to other nodes',
    default: '127.0.0.1:8082',
    schema: advertisedAddress
  },
  adminAddress: {
    flag: 'admin-address',
    env: 'LAVENDERTURN_ADMIN_ADDRESS',
    description: 'Announcements, health, metrics and time line; loopback only',
    default: '127.0.0.1:8083',
    schema: loopbackAddress
  },
  peers: {
    flag: 'peers',
    env: 'LAVENDERTURN_PEERS',
    description: 'Control addresses of other nodes, separated by commas',
    default: '',
    schema: addressList
  },
  tableStore: {
    flag: 'table-store',
    env: 'LAVENDERTURN_TABLE_STORE',
    description: 'URL of the table service, with the table as path; without one the node learns all from its peers',
    optional: true,
    schema: storeUrl
  },
  objectStore: {
    flag: 'object-store',
    env: 'LAVENDERTURN_OBJECT_STORE',
    description: 'URL of the object store, with the bucket as path',
    optional: true,
    schema: storeUrl
  },
  accessKeyId: {
    flag: 'access-key-id',
    env: 'LAVENDERTURN_ACCESS_KEY_ID',
    description: 'Id of the access key for table service and object store',
    default: '',
    schema: anyText
  },
  secretAccessKey: {
    flag: 'secret-access-key',
    env: 'LAVENDERTURN_SECRET_ACCESS_KEY',
    description: 'Secret of the access key; better set in the environment, where other users cannot list it',
    default: '',
    schema: anyText
  },
  storeRegion: {
    flag: 'store-region',
    env: 'LAVENDERTURN_STORE_REGION',
    description: 'Region for which calls of the platform are signed',
    default: 'us-east-1',
    schema: idText
  },
  endpointPolicy: {
    flag: 'endpoint-policy',
    env: 'LAVENDERTURN_ENDPOINT_POLICY',
    description: `How the gateway picks an endpoint: ${Object.keys(endpointPolicies).join(', ')}`,
    default: 'two-choices',
    schema: oneOf(Object.keys(endpointPolicies) as Array<keyof typeof endpointPolicies>)
  },
  drainGrace: {
    flag: 'drain-grace',
    env: 'LAVENDERTURN_DRAIN_GRACE',
    description: 'Milliseconds that ports stay open at least in a planned stop. Less than 5,000 can cut callers that use an ' +
      'idle connection again',
    default: '6000',
    schema: wholeMillis
  },
  logFormat: {
    flag: 'log-format',
    env: 'LAVENDERTURN_LOG_FORMAT',
    description: 'Format of log lines: text, json',
    default: 'text',
    schema: oneOf(['text', 'json'])
  },
  logLevel: {
    flag: 'log-level',
    env: 'LAVENDERTURN_LOG_LEVEL',
    description: 'Least severe lines to write: error, warn, info, debug',
    default: 'info',
    schema: oneOf(['error', 'warn', 'info', 'debug'])
  },
  seed: {
    flag: 'seed',
    env: 'LAVENDERTURN_SEED',
    description: 'Seed of the random generator; by default drawn at the start',
    optional: true,
    schema: seed
  }
})

/** @public */
export type NodeSettings = SettingValues<typeof nodeSettings>
