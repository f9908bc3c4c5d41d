import { EventLoop } from '@lavenderturn/event-loop'
import { findPorts } from '@lavenderturn/ports'
import { millis, type NodeId } from '@lavenderturn/types'
import { Agent } from 'node:http'
import { DatagramLinks } from '../links/DatagramLinks'
import { TcpLink } from '../links/TcpLink'
import { makeNodeSettings } from '../makeNodeSettings'
import { reduceSoak } from '../reduceSoak'
import type { SoakEffect } from '../SoakEffect'
import type { SoakEvent, SoakEventBody } from '../SoakEvent'
import type { SoakProtocol } from '../SoakProtocol'
import type { SoakNode, SoakState } from '../SoakState'
import { BackendStandin } from './BackendStandin'
import { NodeProcess } from './NodeProcess'
import { sendSoakRequest } from './sendSoakRequest'

/** Time limit for all nodes to start and to register as members. */
const START_TIMEOUT_MS = 30_000
const POLL_INTERVAL_MS = 50

/** Covers two announcement intervals and the heartbeats that spread the announcements. */
const ANNOUNCEMENT_PROPAGATION_WAIT_MS = 2_500

/** Wait for the responses of the last requests; longer than the deadline of the callers. */
const FINAL_RESPONSES_WAIT_MS = 2_500

/** @public */
export interface SoakHarnessOptions {
  readonly state: SoakState
  readonly protocol: SoakProtocol
  /** Folder for settings and logs. */
  readonly folder: string
  /** Called with each event, after the reducer has applied it. */
  readonly onEvent: (event: SoakEvent) => void
}

interface NodeHarness {
  readonly process: NodeProcess
  readonly server: BackendStandin
  readonly forwardLink: TcpLink
  readonly storeLink: TcpLink
  readonly callerPort: number
  readonly readinessPort: number
  readonly agent: Agent
}

/** Runs the node processes, links, backend servers and callers of one run. @public */
export class SoakHarness {
  private readonly loop: EventLoop<SoakEventBody, SoakEvent>
  private readonly datagrams = new DatagramLinks()
  private readonly nodes = new Map<NodeId, NodeHarness>()
  private readonly timers = new Set<NodeJS.Timeout>()
  private readonly startedAt = performance.now()
  private finished: () => void = () => {}
  private closed = false

  constructor (private readonly options: SoakHarnessOptions) {
    this.loop = new EventLoop({
      addTimestamp: (body) => ({ ...body, at: millis(Math.round(performance.now() - this.startedAt)) }),
      step: (event) => {
        const effects = reduceSoak(options.state, event)
        options.onEvent(event)
        for (const effect of effects) this.run(effect)
      }
    })
  }

  /** Executes the run; resolves when it is finished. */
  async execute (): Promise<void> {
    const { state, protocol } = this.options
    protocol.writeConfiguration(state.revision, state.keys)
    for (const node of state.nodes.values()) await this.build(node)
    for (const node of state.nodes.values()) {
      node.status = 'running'
      this.getNode(node.id).process.start()
    }
    await this.awaitReady()
    const finished = new Promise<void>((resolve) => { this.finished = resolve })
    this.loop.dispatch({ type: 'fleetReady' })
    await finished
  }

  /** Stops all processes, servers, links and timers. */
  close (): void {
    this.closed = true
    for (const timer of this.timers) clearTimeout(timer)
    for (const { process, server, forwardLink, storeLink, agent } of this.nodes.values()) {
      process.close()
      server.close()
      forwardLink.close()
      storeLink.close()
      agent.destroy()
    }
    this.datagrams.close()
    this.options.protocol.close()
    this.loop.stop()
  }

  private getNode (node: NodeId): NodeHarness {
    return this.nodes.get(node)!
  }

  private dispatch (body: SoakEventBody): void {
    if (!this.closed) this.loop.dispatch(body)
  }

  private async build ({ id, dataCentre }: SoakNode): Promise<void> {
    const { protocol, folder, state } = this.options
    const [caller = 0, forward = 0, announcements = 0, readiness = 0, metrics = 0] = await findPorts(5)
    const [peer = 0] = await findPorts(1, 'udp')
    const storePort = Number(protocol.storeAddress.split(':')[1])
    const forwardLink = new TcpLink(() => forward)
    const storeLink = new TcpLink(() => storePort)
    const settings = makeNodeSettings({
      id,
      dataCentre,
      ports: { caller, forward, announcements, readiness, metrics, peer },
      linkPorts: {
        forward: await forwardLink.open(), store: await storeLink.open(), peer: await this.datagrams.open(id, peer)
      }
    })
    const process = new NodeProcess({
      node: id,
      command: protocol.nodeCommand,
      settingsVariable: protocol.settingsVariable,
      settings,
      folder,
      onExit: (code, signal) => { this.dispatch({ type: 'nodeExited', node: id, code, signal }) }
    })
    const server = new BackendStandin({
      server: state.servers.get(id)!,
      dataCentre,
      protocol,
      announcementPort: announcements,
      onRun: (requestId) => { this.dispatch({ type: 'runStarted', node: id, requestId }) },
      onDrainAcknowledged: () => { this.dispatch({ type: 'drainAcknowledged', node: id }) }
    })
    await server.open()
    const agent = new Agent({ keepAlive: true })
    this.nodes.set(id, {
      process, server, forwardLink, storeLink, callerPort: caller, readinessPort: readiness, agent
    })
  }

  private async awaitReady (): Promise<void> {
    const { state, protocol } = this.options
    const until = performance.now() + START_TIMEOUT_MS
    const ports = [...this.nodes.values()].map(({ readinessPort }) => readinessPort)
    while (performance.now() < until) {
      const ready = await Promise.all(ports.map(async (port) => await this.isReady(port)))
      if (ready.every(Boolean) && protocol.listMembers().length === state.nodes.size) {
        // Servers announce themselves each second, and heartbeats spread the announcements to the other nodes.
        await new Promise((resolve) => { setTimeout(resolve, ANNOUNCEMENT_PROPAGATION_WAIT_MS) })
        return
      }
      await new Promise((resolve) => { setTimeout(resolve, POLL_INTERVAL_MS) })
    }
    throw new Error('the nodes do not become ready')
  }

  private async isReady (port: number): Promise<boolean> {
    const { readinessPath } = this.options.protocol
    try {
      const { status } = await fetch(`http://127.0.0.1:${port}${readinessPath}`)
      return status === 200
    } catch {
      // The node does not listen yet.
      return false
    }
  }

  private run (effect: SoakEffect): void {
    const { protocol } = this.options
    switch (effect.type) {
      case 'startNode': return this.getNode(effect.node).process.start()
      case 'signalNode': return this.getNode(effect.node).process.signal(effect.signal)
      case 'reloadSettings': return this.getNode(effect.node).process.reload()
      case 'setClock': return this.getNode(effect.node).process.setClock(effect.offsetMs)
      case 'setLoss': return this.datagrams.setLoss(effect.node, { [effect.direction]: effect.lost })
      case 'setForwardLink': return this.getNode(effect.node).forwardLink.setMode(effect.mode)
      case 'setStoreLink': return this.getNode(effect.node).storeLink.setMode(effect.mode)
      case 'setStoreFault': return protocol.setStoreFault(effect.fault)
      case 'dropHistory': return protocol.dropHistory()
      case 'copyStore': return protocol.copyStore()
      case 'restoreStore': return protocol.restoreStore()
      case 'setServer': return this.getNode(effect.server.node).server.setState(effect.server)
      case 'writeConfiguration': return protocol.writeConfiguration(effect.revision, effect.keys)
      case 'writeEvacuation': return protocol.writeEvacuation(effect.dataCentre, effect.out)
      case 'writeRollOut': return protocol.writeRollOut(effect.version)
      case 'readRollOut': return this.loop.enqueue({ type: 'rollOutRead', status: protocol.readRollOut() })
      case 'sendRequest': {
        void this.send(effect)
        return
      }
      case 'after': {
        const timer = setTimeout(() => {
          this.timers.delete(timer)
          this.dispatch(effect.event)
        }, effect.delay)
        this.timers.add(timer)
        return
      }
      case 'finish': {
        // Waits for the responses of the last requests.
        const timer = setTimeout(this.finished, FINAL_RESPONSES_WAIT_MS)
        this.timers.add(timer)
      }
    }
  }

  private async send ({ request }: Extract<SoakEffect, { readonly type: 'sendRequest' }>): Promise<void> {
    const { callerPort: port, agent } = this.getNode(request.node)
    const result = await sendSoakRequest({ request, port, agent, protocol: this.options.protocol })
    this.dispatch({ type: 'requestEnded', requestId: request.id, result })
  }
}
