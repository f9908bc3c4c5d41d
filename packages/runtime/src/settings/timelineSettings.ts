import { z } from 'zod'
import { addressList, booleanText } from './schemas'
import { defineSettings, type SettingValues } from './SettingEntry'

/** Settings of `lavenderturn-timeline`. */
export const timelineSettings = defineSettings({
  addresses: {
    flag: 'admin-addresses',
    env: 'LAVENDERTURN_TIMELINE_ADMIN_ADDRESSES',
    description: 'Admin addresses of the nodes to read, separated by commas',
    schema: addressList.refine((addresses) => addresses.length > 0, 'expected at least one address')
  },
  request: {
    flag: 'request',
    env: 'LAVENDERTURN_TIMELINE_REQUEST',
    description: 'Show only this request; answers carry its id in the header lavenderturn-request',
    optional: true,
    schema: z.string()
  },
  team: {
    flag: 'team',
    env: 'LAVENDERTURN_TIMELINE_TEAM',
    description: 'Show only requests of this team',
    optional: true,
    schema: z.string()
  },
  endpoint: {
    flag: 'endpoint',
    env: 'LAVENDERTURN_TIMELINE_ENDPOINT',
    description: 'Show only records of this endpoint, and attempts that went there',
    optional: true,
    schema: z.string()
  },
  dataCentre: {
    flag: 'data-centre',
    env: 'LAVENDERTURN_TIMELINE_DATA_CENTRE',
    description: 'Show only records of nodes in this data centre',
    optional: true,
    schema: z.string()
  },
  explain: {
    flag: 'explain',
    env: 'LAVENDERTURN_TIMELINE_EXPLAIN',
    description: 'Tell what happened to this request, from its arrival to its answer',
    optional: true,
    schema: z.string()
  },
  json: {
    flag: 'json',
    env: 'LAVENDERTURN_TIMELINE_JSON',
    description: 'Write one JSON object a line',
    default: 'false',
    isSwitch: true,
    schema: booleanText
  }
})

/** @public */
export type TimelineSettings = SettingValues<typeof timelineSettings>
