import { type NodeSettings, nodeSettings, SettingError, splitAddress } from '@lavenderturn/runtime'
import { type Address, toId } from '@lavenderturn/types'
import type { AddressInfo, Server } from 'node:net'

/** Settings that name a port of the node. @internal */
export type PortSetting = 'adminAddress' | 'callerAddress' | 'controlAddress' | 'forwardAddress'

/**
 * Opens a port.
 *
 * @param server - the server that listens
 * @param name - the setting with its address
 * @param settings - checked settings
 * @returns the address, with the port that was taken where the setting has port 0
 * @throws SettingError when the address cannot be used
 * @internal
 */
export async function openPort (server: Pick<Server, 'address' | 'listen' | 'once'>, name: PortSetting, settings: NodeSettings): Promise<Address> {
  const { host, port } = splitAddress(settings[name])
  await new Promise<void>((resolve, reject) => {
    server.once('error', (err) => {
      const { flag, env } = nodeSettings[name]
      reject(new SettingError(`--${flag} (${env})`, err.message))
    })
    server.listen(port, host, resolve)
  })
  return toId<Address>(`${host}:${(server.address() as AddressInfo).port}`)
}
