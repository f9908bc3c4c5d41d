import { describeRollouts, type MemoryPurpose } from '@lavenderturn/mesh'
import type { ConsolaInstance } from 'consola'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { LogSink } from '../LogSink'
import type { MeshRuntime } from '../MeshRuntime'
import type { MeshMetrics, MetricSeries } from './MeshMetrics'

const MILLISECONDS_PER_SECOND = 1_000

export const METRICS_PATH = '/metrics'

/** Path of the roll-outs that the node knows of, as JSON. */
export const ROLLOUTS_PATH = '/rollouts'

/** @internal */
export interface MetricsServerOptions {
  readonly runtime: MeshRuntime
  readonly metrics: MeshMetrics
  readonly log: ConsolaInstance
  /** Present if the log can drop lines. */
  readonly sink?: LogSink
}

/**
 * Creates the HTTP server for metrics in the Prometheus text format, and for the state of roll-outs. It runs on the
 * event loop of the node and responds even while requests are refused for overload.
 *
 * @param options - sources of the metrics
 * @returns the server, not listening
 * @internal
 */
export function createMetricsServer (options: MetricsServerOptions): Server {
  return createServer((req, res) => {
    if (req.url === ROLLOUTS_PATH) {
      const content = JSON.stringify({ rollouts: options.runtime.query(describeRollouts) })
      res.writeHead(200, { 'content-type': 'application/json' }).end(content)
      return
    }
    if (req.url !== METRICS_PATH) {
      res.writeHead(404, { 'content-length': '0' }).end()
      return
    }
    renderMetrics([...options.metrics.collect(), ...collectGauges(options)]).then(
      ({ type, text }) => { res.writeHead(200, { 'content-type': type }).end(text) },
      (err: unknown) => { sendRenderError(options.log, res, err) }
    )
  })
}

function sendRenderError (log: ConsolaInstance, res: ServerResponse, err: unknown): void {
  log.warn('metrics not rendered', { error: String(err) })
  res.writeHead(500, { 'content-length': '0' }).end()
}

function collectGauges ({ runtime, sink }: MetricsServerOptions): MetricSeries[] {
  const {
    requests, members, revision, reported, unreadable, unreadableParts, evacuated, era, ignored, idleMs
  } = runtime.query((state) => ({
    requests: state.gateway.requests.size,
    members: state.directory.members.size,
    revision: state.configuration.current?.revision ?? 0,
    reported: state.configuration.relay.reported?.revision ?? 0,
    unreadable: state.configuration.unreadable === undefined ? 0 : 1,
    unreadableParts: state.configuration.current?.unreadableParts.length ?? 0,
    evacuated: state.configuration.evacuated.size,
    era: state.configuration.era,
    ignored: state.configuration.ignoredReadings,
    idleMs: state.admission.server === undefined ? 0 : state.now - state.admission.lastDispatchAt
  }))
  const gauge = (name: string, help: string, value: number): MetricSeries => {
    return { name, help, values: [{ labels: {}, value }] }
  }
  return [
    ...collectMemory(runtime),
    ...collectRollouts(runtime),
    gauge('lavenderturn_mesh_requests_open', 'Requests in flight at the gateway', requests),
    gauge('lavenderturn_mesh_members', 'Nodes that are known, this one included', members),
    gauge('lavenderturn_mesh_configuration_revision', 'Revision in force; 0 before the first', revision),
    gauge(
      'lavenderturn_mesh_configuration_revision_reported', 'Latest revision that another node has reported', reported
    ),
    gauge('lavenderturn_mesh_server_idle_seconds', 'Time since a request was dispatched to the backend server', idleMs / MILLISECONDS_PER_SECOND),
    gauge(
      'lavenderturn_mesh_configuration_unreadable', '1 while the newest configuration cannot be read', unreadable
    ),
    gauge(
      'lavenderturn_mesh_configuration_parts_left_out', 'Parts of the revision in force that cannot be read', unreadableParts
    ),
    gauge('lavenderturn_mesh_data_centres_out', 'Data centres that operators have taken out', evacuated),
    gauge('lavenderturn_mesh_store_era', 'Latest era of the store that is known; rises when it is restored', era),
    gauge('lavenderturn_mesh_readings_ignored', 'Readings in a row that were ignored as older than a known one', ignored),
    gauge('lavenderturn_mesh_log_lines_dropped_total', 'Log lines dropped for a slow reader', sink?.droppedLines ?? 0)
  ]
}

function collectRollouts (runtime: MeshRuntime): MetricSeries[] {
  const { rollouts, exposure } = runtime.query(({ rollout }) => rollout)
  const phases = new Map<string, number>()
  for (const { phase } of rollouts.values()) phases.set(phase, (phases.get(phase) ?? 0) + 1)
  return [
    {
      name: 'lavenderturn_mesh_rollouts',
      help: 'Roll-outs of versions that are known, by phase',
      values: [...phases].map(([phase, value]) => ({ labels: { phase }, value }))
    },
    {
      name: 'lavenderturn_mesh_rollout_requests',
      help: 'Requests since the order of a roll-out that the server beside the node has got, and those that it is allowed',
      values: [
        { labels: { kind: 'dispatched' }, value: exposure.dispatched },
        { labels: { kind: 'allowed' }, value: exposure.allowance }
      ]
    }
  ]
}

function collectMemory (runtime: MeshRuntime): MetricSeries[] {
  const { bytes, limitBytes, pausedMs } = runtime.query(({ memory }) => {
    const bytes = new Map<MemoryPurpose, number>()
    for (const share of memory.shares.values()) bytes.set(share.purpose, (bytes.get(share.purpose) ?? 0) + share.bytes)
    return { bytes, limitBytes: memory.limitBytes, pausedMs: memory.pausedMs }
  })
  return [
    {
      name: 'lavenderturn_mesh_body_bytes',
      help: 'Memory that bodies of requests and responses hold, by purpose',
      values: [...bytes].map(([purpose, value]) => ({ labels: { purpose }, value }))
    },
    {
      name: 'lavenderturn_mesh_body_bytes_limit',
      help: 'Memory that all bodies together may hold',
      values: [{ labels: {}, value: limitBytes }]
    },
    {
      name: 'lavenderturn_mesh_body_paused_seconds_total',
      help: 'Time for which bodies were not read because memory was short, all of them added up',
      values: [{ labels: {}, value: pausedMs / MILLISECONDS_PER_SECOND }]
    }
  ]
}

/** Loads the library on the first request, to keep it out of the startup of the node. */
async function renderMetrics (
  series: readonly MetricSeries[]
): Promise<{ readonly type: string, readonly text: string }> {
  const { Gauge, Registry } = await import('prom-client')
  const registry = new Registry()
  for (const { name, help, values } of series) {
    const labelNames = [...new Set(values.flatMap(({ labels }) => Object.keys(labels)))]
    const metric = new Gauge({ name, help, labelNames, registers: [registry] })
    for (const { labels, value } of values) metric.set(labels, value)
  }
  return { type: registry.contentType, text: await registry.metrics() }
}
